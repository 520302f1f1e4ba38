"""Moves events from an upstream's connection to a caller's as they are read.

A task that is woken for each event costs about as much processor time as all the rest
of passing it on, and events are most of what an entry does. So events are passed on
where their bytes come in; the task waits for the end, or for a caller that does not
keep up.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.routing.client import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp
    from aiohttp.base_protocol import BaseProtocol
    from aiohttp.streams import StreamReader


class Pump:
    """Passes on the body of one answer while the caller keeps up.

    Args:
        body: The answer's body.
        conn: The connection that it comes in on.
        caller: The caller's connection.
        on_data: Called with bytes of the body; it must send them at once.
    """

    def __init__(
        self,
        body: StreamReader,
        conn: UpstreamConnection,
        caller: BaseProtocol,
        on_data: Callable[[bytes], None],
    ) -> None:
        self._body = body
        self._conn = conn
        self._caller = caller
        self._on_data = on_data
        self._stopped: asyncio.Future[None] = asyncio.Future()

    async def run(self) -> None:
        """Return once the body has ended or failed, or the caller is behind.

        Raises:
            Exception: What `on_data` raised.
        """
        self._conn.listener = self._forward
        try:
            self._forward()
            await self._stopped
        finally:
            self._conn.listener = None

    def _forward(self) -> None:
        """Pass on what has come in."""
        if self._stopped.done():
            return
        try:
            data = self._body.read_nowait()
            if data:
                self._on_data(data)
        except Exception as exc:
            # Raised in the task that waits: the event loop called this.
            self._stopped.set_exception(exc)
            return
        if self._body.at_eof() or self._caller.writing_paused:
            self._stopped.set_result(None)


def connection_of(resp: aiohttp.ClientResponse) -> UpstreamConnection | None:
    """Return the connection that an answer still comes in on, or None."""
    conn = resp.connection
    protocol = conn.protocol if conn is not None else None
    return protocol if isinstance(protocol, UpstreamConnection) else None
