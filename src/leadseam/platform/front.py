"""HTTP servers of an entry: one for callers and one for readiness checks."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.platform import names
from leadseam.platform.first_bytes import FirstBytes

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Awaitable, Callable

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader
    from aiohttp.web_protocol import RequestHandler

    from leadseam.outcome import NotRun
    from leadseam.platform.first_bytes import Refuse
    from leadseam.routing.dialect import Sender
    from leadseam.settings.models import Endpoint

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

MAX_BODY = 16 * 1024 * 1024
"""Maximum size of a body in bytes; operators configure a lower limit."""
MAX_HEADER_LINE = 65_536
"""Maximum size of a header line in bytes; operators configure a lower limit for the
whole head."""
IDLE_TIMEOUT_S = 60.0
"""Seconds for which an idle connection is kept: above what operators configure today
(15)."""
BACKLOG = 2_048
"""Length of the accept queue; callers lose seconds if it is full."""
ACCEPTORS = 32
"""Duplicates of the listening socket. The event loop accepts one connection per
duplicate and iteration. An iteration of a busy entry takes tens of milliseconds, and a
flood opens 1,000 connections a second."""


def _never_refuse(_: Sender) -> NotRun | None:
    return None


class _EarlyRefusalServer(web.Server):
    """HTTP server that can refuse the first request of a connection early."""

    def __init__(
        self, handler: Handler, *, refuse: Refuse, waiting: set[FirstBytes]
    ) -> None:
        super().__init__(
            handler,
            request_factory=_make_request,
            handler_cancellation=True,
            keepalive_timeout=IDLE_TIMEOUT_S,
            max_line_size=MAX_HEADER_LINE,
            max_field_size=MAX_HEADER_LINE,
            auto_decompress=False,
            access_log=None,
            lingering_time=0.5,
        )
        self._refuse = refuse
        self._waiting = waiting

    def __call__(self) -> FirstBytes:  # type: ignore[override]
        return FirstBytes(super().__call__, self._refuse, self._waiting, IDLE_TIMEOUT_S)


class FrontServer:
    """Passes every request of callers to one handler, whatever its path.

    Args:
        handler: Serves a request.
        refuse: Returns the refusal of the first request of a connection, or None if it
            is to be served. By default nothing is refused.
    """

    def __init__(self, handler: Handler, *, refuse: Refuse = _never_refuse) -> None:
        self._handler = handler
        self._waiting: set[FirstBytes] = set()
        self._busy: set[object] = set()
        self._closed: set[object] = set()
        self._server = _EarlyRefusalServer(
            self._handle, refuse=refuse, waiting=self._waiting
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.2)
        self._sites: list[web.SockSite] = []

    async def start(self, listen: Endpoint) -> None:
        """Bind the socket and start accepting connections."""
        await self._runner.setup()
        with socket.create_server((listen.ip, listen.port), backlog=BACKLOG) as sock:
            self._sites = [
                web.SockSite(self._runner, sock.dup(), backlog=BACKLOG)
                for _ in range(ACCEPTORS)
            ]
        for site in self._sites:
            await site.start()

    @property
    def connections(self) -> list[RequestHandler | FirstBytes]:
        """Open connections of callers."""
        return [*self._waiting, *self._server.connections]

    async def close_idle(self) -> None:
        """Stop accepting, and close each connection after its current request."""
        for site in self._sites:
            await site.stop()
        for conn in self.connections:
            if isinstance(conn, FirstBytes):
                self._closed.add(conn)
                conn.close()
            elif conn in self._busy:
                conn.close()
            else:
                # `close` would end the task of an idle connection but leave it open.
                self._closed.add(conn)
                conn.force_close()

    async def stop(self) -> None:
        """Close everything."""
        for conn in list(self._waiting):
            conn.close()
        await self._runner.cleanup()

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        conn = http.protocol
        if conn in self._closed:
            # It arrived while its connection was being closed: no response can be sent.
            return web.Response(status=503)
        self._busy.add(conn)
        try:
            return await self._handler(http)
        finally:
            self._busy.discard(conn)


class ReadyServer:
    """Answers readiness checks of the platform.

    Args:
        readiness: Returns why the process is not ready, or an empty string if it is.

    """

    def __init__(self, readiness: Callable[[], str]) -> None:
        self._readiness = readiness
        app = web.Application()
        app.router.add_get(names.READY_PATH, self._ready)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.2)

    async def start(self, listen: Endpoint) -> None:
        """Bind the socket."""
        await self._runner.setup()
        await web.TCPSite(self._runner, listen.ip, listen.port).start()

    async def stop(self) -> None:
        """Close everything."""
        await self._runner.cleanup()

    async def _ready(self, _: web.Request) -> web.Response:
        reason = self._readiness()
        return web.json_response({"reason": reason}, status=503 if reason else 200)


def _make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        task.get_loop(),
        client_max_size=MAX_BODY,
    )
