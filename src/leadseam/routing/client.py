"""HTTP client for upstreams, hardened against faulty upstreams."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable
from contextvars import ContextVar
from typing import TYPE_CHECKING, Any

import aiohttp
from yarl import URL

from leadseam.clock import Clock, Millis, seconds
from leadseam.liveness import HealthCheck, Liveness
from leadseam.runtime.upstream_connection import UpstreamConnection, UpstreamConnector
from leadseam.runtime.witness import LivenessChecker

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection
    from aiohttp.tracing import Trace

CONNECT_TIMEOUT: Millis = 500
"""Timeout of opening a connection. Boxes of one region are a few ms apart. A lost first
packet is sent again after a second, which is too late for a short deadline."""
IDLE_LIMIT: Millis = 1_500
"""Idle time up to which a connection is reused. Upstreams close idle connections after
a few seconds without notice."""
SILENT_PEER_LIMIT: Millis = 3_000
"""Age of unacknowledged bytes or probes at which a connection is closed: its peer is
unreachable. Callers give up a stream after some 3 s without an event."""
PORT_CHECK_TIMEOUT: Millis = 300
"""Longest time for which a connection is kept to see whether its port is closed."""
PROBE_INTERVAL_S = 1
"""Seconds without a byte after which TCP keepalive probes a connection, and between
probes. Only they distinguish an unreachable upstream from one that takes long."""


MaySend = Callable[[UpstreamConnection], bool]
"""Decides whether a request may be written to a connection."""


def _always(_: UpstreamConnection) -> bool:
    return True


def _never(_: UpstreamConnection) -> bool:
    return False


_may_send: ContextVar[MaySend] = ContextVar("_may_send", default=_always)
"""Callback of the current task's request that decides whether it may be written."""


class WithheldError(aiohttp.ClientError):
    """A request was not written, as it must no longer be sent."""


class RoutingConnector(UpstreamConnector):
    """A pool of connections with TCP keepalive.

    `connect` is called just before a request is written. If the request must no longer
    be sent, it raises, and the connection returns to the pool.

    Args:
        keepalive: Seconds that an idle connection is kept; None closes each connection
            after one request.
        clock: Source of the times at which connections are opened.
    """

    def __init__(self, *, keepalive: float | None = None, clock: Clock) -> None:
        super().__init__(keepalive=keepalive)
        self._clock = clock

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection for a request.

        Raises:
            WithheldError: If the request must no longer be sent.
        """
        conn = await super().connect(req, traces, timeout)
        protocol = conn.protocol
        assert isinstance(protocol, UpstreamConnection)
        if not _may_send.get()(protocol):
            conn.release()
            raise WithheldError
        return conn

    def has_idle(self, ip: str, port: int) -> bool:
        """Return whether a connection to an address is kept for reuse."""
        return any(key.host == ip and key.port == port for key in self._conns)

    async def _wrap_create_connection(
        self, *args: Any, **kwargs: Any
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        transport, conn = await super()._wrap_create_connection(*args, **kwargs)
        _enable_keepalive(transport.get_extra_info("socket"))
        assert isinstance(conn, UpstreamConnection)
        conn.clock = self._clock
        conn.opened_at = conn.alive_at = self._clock.now()
        return transport, conn


def _enable_keepalive(sock: socket.socket) -> None:
    """Have the kernel close the connection if its peer no longer responds."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_PEER_LIMIT)


def open_session(
    connector: RoutingConnector, *, connect_timeout: Millis
) -> aiohttp.ClientSession:
    """Open a session that passes on headers and bodies unchanged.

    Args:
        connector: Connection pool of the session.
        connect_timeout: Timeout of opening a connection.
    """
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=seconds(connect_timeout)
        ),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type", "Accept"),
        max_line_size=65_536,
        max_field_size=65_536,
    )
    # The library would retry idempotent methods itself, outside any retry budget.
    session._retry_connection = False
    return session


class UpstreamClient:
    """Sends requests to upstreams by address.

    Attributes:
        liveness: Checks whether upstreams still run.

    Args:
        clock: Source of the times at which connections are opened.
    """

    def __init__(self, clock: Clock) -> None:
        self.liveness = LivenessChecker(clock)
        self._ports = LivenessChecker(clock)
        self._connector = RoutingConnector(keepalive=seconds(IDLE_LIMIT), clock=clock)
        self._pooled = open_session(self._connector, connect_timeout=CONNECT_TIMEOUT)
        # Reused connections may prove to be closed after the request was written.
        self._single_use = open_session(
            RoutingConnector(clock=clock), connect_timeout=CONNECT_TIMEOUT
        )

    def drop_idle(self) -> int:
        """Close idle connections, which may be dead; return their number."""
        return self._connector.drop_idle()

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled.close()
        await self._single_use.close()

    async def keep_spare(self, ip: str, port: int) -> None:
        """Open a connection to an upstream if none is idle.

        It stays open for the requests that follow. An upstream that does not accept it
        is left to them too.
        """
        if self._connector.has_idle(ip, port):
            return
        with contextlib.suppress(aiohttp.ClientError):
            await self.send(
                ip,
                port,
                method="GET",
                target="/",
                headers=[],
                body=b"",
                repeatable=True,
                may_send=_never,
            )

    async def is_refused(self, ip: str, port: int) -> bool:
        """Check whether an upstream's address refuses connections.

        A connection that it accepts is kept for a while, as a process that ends may
        close its port last.
        """
        found = await self._ports.check(
            ip, port, HealthCheck(""), timeout=PORT_CHECK_TIMEOUT
        )
        return found is Liveness.GONE

    async def send(
        self,
        ip: str,
        port: int,
        *,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        repeatable: bool,
        may_send: MaySend = _always,
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its answer.

        Args:
            ip: IP address of the upstream.
            port: Its port.
            method: HTTP method.
            target: Raw path and query.
            headers: All headers of the request.
            body: Body of the request.
            repeatable: Whether to reuse an idle connection, which may prove to be
                closed.
            may_send: Called with the connection before the first byte is written; if
                false, nothing is sent. Defaults to true.

        Raises:
            WithheldError: If `may_send` returned false; nothing was written.
            aiohttp.ClientConnectorError: If no byte of the request was sent.
            aiohttp.ClientError: If the connection failed after that.
        """
        _may_send.set(may_send)
        session = self._pooled if repeatable else self._single_use
        return await session.request(
            method,
            # As a path, so that it arrives as it is: parsing drops an empty query.
            URL.build(scheme="http", host=ip, port=port, path=target, encoded=True),
            data=body or None,
            headers=headers,
            allow_redirects=False,
        )
