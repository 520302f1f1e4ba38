"""HTTP servers of an entry: one for callers and one for readiness checks."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import SystemClock, seconds
from leadseam.control.routes import CallerLimits
from leadseam.peers.limits import PeerLimits
from leadseam.platform import names
from leadseam.platform.caller_connection import CallerConnection
from leadseam.platform.first_bytes import FirstBytes
from leadseam.runtime.admin import ADMIN_LIMITS, MAX_ADMIN_BODY
from leadseam.runtime.held_connection import (
    RECEIVE_BUFFER,
    HeldAppRunner,
    HeldBaseRequest,
)
from leadseam.runtime.metrics import Metrics
from leadseam.runtime.peer_guard import PeerGuard
from leadseam.runtime.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader
    from aiohttp.web_protocol import RequestHandler

    from leadseam.outcome import Reason
    from leadseam.peers.account import Holding
    from leadseam.platform.first_bytes import Decide, PassOn
    from leadseam.settings.models import Endpoint

    Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
    Limits = Callable[[], CallerLimits]

MAX_HEADER_LINE = 65_536
"""Maximum size of a header line in bytes; operators configure a lower limit for the
whole head."""
MAX_HEADER_LINES = MAX_HEADER_LINE // 4
"""As many lines as fit into the largest head; their sum is limited by its size."""
SECONDS_PER_DAY = 86_400
SWEEP_INTERVAL_S = 0.25
"""Seconds between two checks of the time limits of all connections."""
UNCONFIGURED = CallerLimits(
    header_bytes=MAX_HEADER_LINE,
    body_bytes=16 * 1024 * 1024,
    header_timeout=10_000,
    idle_timeout=60_000,
)
"""Limits until a configuration states them."""
BACKLOG = 2_048
"""Length of the accept queue; callers lose seconds if it is full."""
ACCEPTORS = 32
"""Duplicates of the listening socket. The event loop accepts one connection per
duplicate and iteration. An iteration of a busy entry takes tens of milliseconds, and a
flood opens 1,000 connections a second."""


class _EarlyDecisionServer(web.Server):
    """HTTP server that can refuse or pass on the first request of a connection."""

    def __init__(
        self,
        handler: Handler,
        *,
        decide: Decide,
        pass_on: PassOn,
        waiting: set[FirstBytes],
        limits: Limits,
        on_refusal: Callable[[Reason], None],
        guard: PeerGuard,
    ) -> None:
        super().__init__(
            handler,
            request_factory=self._make_request,
            handler_cancellation=True,
            # `CallerConnection` closes idle connections.
            keepalive_timeout=SECONDS_PER_DAY,
            max_line_size=MAX_HEADER_LINE,
            max_field_size=MAX_HEADER_LINE,
            max_headers=MAX_HEADER_LINES,
            auto_decompress=False,
            access_log=None,
            lingering_time=0.5,
        )
        self._decide = decide
        self._pass_on = pass_on
        self._waiting = waiting
        self._limits = limits
        self._on_refusal = on_refusal
        self._guard = guard

    def __call__(self) -> FirstBytes:  # type: ignore[override]
        return FirstBytes(
            self.make_connection,
            self._guard,
            self._decide,
            self._pass_on,
            self._waiting,
        )

    def make_connection(
        self, holding: Holding | None, *, is_handed: bool = False
    ) -> CallerConnection:
        """Return the protocol of a connection.

        Args:
            holding: Its holding, or None to open one.
            is_handed: Whether another entry hands it over, with one request.
        """
        return CallerConnection(
            self,
            loop=self._loop,
            guard=self._guard,
            holding=holding,
            max_body=self._limits().body_bytes,
            limits=self._limits,
            on_refusal=self._on_refusal,
            is_handed=is_handed,
            **self._kwargs,
        )

    def _make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        return HeldBaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            task.get_loop(),
            client_max_size=self._limits().body_bytes,
        )


class FrontServer:
    """Passes every request of callers to one handler, whatever its path.

    Args:
        handler: Serves a request.
        decide: Returns the refusal of the first request of a connection, where to hand
            the connection over, or None if it is to be served. By default all are.
        pass_on: Hands a connection over to another entry. By default it does not.
        limits: Returns the limits in force, of which each may be 0 for none.
        on_refusal: Called with the reason of each refusal by these limits.
        guard: Account of the process that connections are charged to. Defaults to one
            with the default limits.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        guard: PeerGuard | None = None,
        decide: Decide = lambda _: None,
        pass_on: PassOn = lambda *_: False,
        limits: Limits = lambda: UNCONFIGURED,
        on_refusal: Callable[[Reason], None] = lambda _: None,
    ) -> None:
        self._handler = handler
        self._waiting: set[FirstBytes] = set()
        self._busy: set[object] = set()
        self._closed: set[object] = set()
        self._limits = limits
        self._sweeper: asyncio.Task[None] | None = None
        self._server = _EarlyDecisionServer(
            self._handle,
            decide=decide,
            pass_on=pass_on,
            waiting=self._waiting,
            limits=limits,
            on_refusal=on_refusal,
            guard=guard or PeerGuard(PeerLimits(), SystemClock(), Metrics()),
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.2)
        self._sites: list[web.SockSite] = []

    async def start(self, listen: Endpoint) -> None:
        """Bind the socket and start accepting connections."""
        await self._runner.setup()
        with socket.create_server((listen.ip, listen.port), backlog=BACKLOG) as sock:
            # Accepted sockets inherit it.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self._sites = [
                web.SockSite(self._runner, sock.dup(), backlog=BACKLOG)
                for _ in range(ACCEPTORS)
            ]
        for site in self._sites:
            await site.start()
        self._sweeper = spawn(self._sweep())

    async def _sweep(self) -> None:
        """Enforce the time limits of all connections, by the limits in force."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = loop.time()
            idle_timeout = self._limits().idle_timeout
            for first in list(self._waiting):
                first.note_address()
                if idle_timeout and now - first.since > seconds(idle_timeout):
                    first.close()
            for conn in list(self._server.connections):
                assert isinstance(conn, CallerConnection)
                conn.enforce_times(now)

    @property
    def connections(self) -> list[RequestHandler | FirstBytes]:
        """Open connections of callers."""
        return [*self._waiting, *self._server.connections]

    def make_handed_connection(self) -> RequestHandler:
        """Return the protocol of a connection that another entry hands over."""
        return self._server.make_connection(None, is_handed=True)

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
        if self._sweeper is not None:
            self._sweeper.cancel()
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
        self._runner = HeldAppRunner(
            app,
            # Callers must not be able to shut the checks out.
            PeerGuard(ADMIN_LIMITS, SystemClock(), Metrics()),
            max_body=MAX_ADMIN_BODY,
            access_log=None,
            shutdown_timeout=0.2,
        )

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
