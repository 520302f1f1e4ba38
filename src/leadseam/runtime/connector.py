"""HTTP connector whose connections are opened by the event loop.

`aiohttp` connects a socket and then passes it to the loop. If the caller is cancelled
in between, both close the file descriptor, and the second close hits whichever socket
has reused the number by then: either an answer goes to the wrong connection, or the
loop aborts the whole process because a descriptor that it still polls is gone.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler


DEFAULT_KEEPALIVE_S = 15.0
"""Seconds to keep an idle connection if the peer's own keep-alive time is unknown; the
default of `aiohttp`."""


class LoopConnector(aiohttp.TCPConnector):
    """Unlimited connection pool whose connections are opened by the event loop.

    Args:
        keepalive: Seconds to keep an idle connection; None closes each connection after
            one request.
    """

    def __init__(self, *, keepalive: float | None = None) -> None:
        if keepalive is None:
            super().__init__(limit=0, force_close=True)
        else:
            super().__init__(limit=0, keepalive_timeout=keepalive)

    def drop_idle(self) -> int:
        """Close all idle connections and return their number."""
        idle = [conn for conns in self._conns.values() for conn, _ in conns]
        for conn in idle:
            # The pool skips connections that are closed.
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
                # Another address of the name may work; only the last error is raised.
                continue
        return await self._open(last, kwargs)

    async def _open(
        self, address: tuple[str, int], kwargs: dict[str, Any]
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        return await self._loop.create_connection(self._factory, *address, **kwargs)
