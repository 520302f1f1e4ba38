"""Forwards events from an upstream's connection to a caller's as they are read.

Waking a task for each event costs about as much processor time as the rest of the
forwarding, and forwarding events is most of the work of an entry. So events are
forwarded in the callback that receives their bytes. The task only waits for the end of
the body, or until the caller does not keep up.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.runtime.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp
    from aiohttp.base_protocol import BaseProtocol
    from aiohttp.streams import StreamReader


class Pump:
    """Forwards the body of one answer while the caller keeps up.

    Args:
        body: The answer's body.
        conn: The upstream connection that receives it.
        caller: The caller's connection.
        on_data: Called with bytes of the body, which it must send at once.
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
        """Forward until the body has ended or failed, or the caller does not keep up.

        Raises:
            Exception: Any exception of the body or of `on_data`.
        """
        self._conn.listener = self._forward
        try:
            self._forward()
            await self._stopped
        finally:
            self._conn.listener = None

    def _forward(self) -> None:
        """Forward the bytes that have been received."""
        if self._stopped.done():
            return
        try:
            data = self._body.read_nowait()
            if data:
                self._on_data(data)
        except Exception as exc:
            # The event loop called this method, so the exception is raised in the
            # waiting task instead.
            self._stopped.set_exception(exc)
            return
        if self._body.at_eof() or self._caller.writing_paused:
            self._stopped.set_result(None)


def connection_of(resp: aiohttp.ClientResponse) -> UpstreamConnection | None:
    """Return the connection that still receives an answer, or None."""
    conn = resp.connection
    protocol = conn.protocol if conn is not None else None
    return protocol if isinstance(protocol, UpstreamConnection) else None
