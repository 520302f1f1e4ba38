"""HTTP connections that the event loop opens itself.

`aiohttp` opens a socket and hands it to the loop. If whoever asked leaves in between,
both close its descriptor, and the second close hits whoever has the number by then: an
answer goes to another connection, or the loop, which finds a descriptor gone that it
still polls, aborts the whole process.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler


DEFAULT_KEEPALIVE_S = 15.0
"""Seconds that an idle connection is kept where nothing else is known of the peer; the
library's own measure."""


class LoopConnector(aiohttp.TCPConnector):
    """A pool of connections without a limit, each opened by the event loop.

    Args:
        keepalive: Seconds that an idle connection is kept; None closes each after one
            request.
    """

    def __init__(self, *, keepalive: float | None = None) -> None:
        if keepalive is None:
            super().__init__(limit=0, force_close=True)
        else:
            super().__init__(limit=0, keepalive_timeout=keepalive)

    def drop_idle(self) -> int:
        """Close the connections that nobody uses; return their number."""
        idle = [conn for conns in self._conns.values() for conn, _ in conns]
        for conn in idle:
            # The pool passes over those that are closed.
            conn.force_close()
            conn.close()
        return len(idle)

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[Any],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        try:
            async with asyncio.timeout(timeout.sock_connect):
                return await self._open_first(addr_infos, kwargs)
        except OSError as exc:
            if isinstance(exc, TimeoutError):
                raise
            raise client_error(req.connection_key, exc) from exc

    async def _open_first(
        self, addr_infos: list[Any], kwargs: dict[str, Any]
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        *others, last = [info[4][:2] for info in addr_infos]
        for address in others:
            try:
                return await self._open(address, kwargs)
            except OSError:
                # A name's next address may do; the error of the last one is told.
                continue
        return await self._open(last, kwargs)

    async def _open(
        self, address: tuple[str, int], kwargs: dict[str, Any]
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        return await self._loop.create_connection(self._factory, *address, **kwargs)
