"""The admin server of every process: /healthz, /readyz and /metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import SystemClock
from leadseam.peers.limits import PeerLimits
from leadseam.runtime.held_connection import HeldAppRunner
from leadseam.runtime.metrics import Metrics
from leadseam.runtime.peer_guard import PeerGuard

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

ADMIN_LIMITS = PeerLimits(max_bytes=4_000_000, max_connections=64)
"""Limits for checks, metrics and administration."""
MAX_ADMIN_BODY = 65_536
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


def admin_routes(
    metrics: Metrics, readiness: Callable[[], str]
) -> list[web.AbstractRouteDef]:
    """Return the routes for health, readiness and metrics.

    Args:
        metrics: Metrics that /metrics renders.
        readiness: Returns the reason why the process is not ready, or an empty string
            if it is.
    """

    async def healthz(_: web.Request) -> web.Response:
        return web.json_response({"status": "ok"})

    async def readyz(_: web.Request) -> web.Response:
        reason = readiness()
        body = {"ready": not reason, "reason": reason}
        return web.json_response(body, status=503 if reason else 200)

    async def show_metrics(_: web.Request) -> web.Response:
        headers = {"Content-Type": METRICS_CONTENT_TYPE}
        return web.Response(body=metrics.render(), headers=headers)

    return [
        web.get("/healthz", healthz),
        web.get("/readyz", readyz),
        web.get("/metrics", show_metrics),
    ]


async def serve_http(
    ip: str,
    port: int,
    app: web.Application,
    *,
    grace: float = 0.5,
    guard: PeerGuard | None = None,
    max_body: int = 0,
) -> web.AppRunner:
    """Start an HTTP server for an application.

    Args:
        ip: IP address to bind.
        port: Port to bind.
        app: Application to serve.
        grace: Seconds that open connections have to finish at shutdown. Defaults to
            0.5.
        guard: Account that connections are charged to. Defaults to none, for servers
            without peers that this project does not control.
        max_body: Largest body that is collected for such an account, in bytes.

    Returns:
        The runner; the caller stops the server with its `cleanup`.
    """
    runner: web.AppRunner
    if guard is None:
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=grace, handler_cancellation=True
        )
    else:
        runner = HeldAppRunner(
            app,
            guard,
            max_body=max_body,
            access_log=None,
            shutdown_timeout=grace,
            handler_cancellation=True,
        )
    await runner.setup()
    site = web.TCPSite(runner, ip, port, backlog=1_024)
    await site.start()
    return runner


async def serve_admin(
    ip: str,
    port: int,
    metrics: Metrics,
    readiness: Callable[[], str],
    *,
    extra_routes: Iterable[web.AbstractRouteDef] = (),
) -> web.AppRunner:
    """Serve the admin routes and the additional routes of a role.

    They have an account of their own, so that other peers can't shut them out.
    """
    app = web.Application()
    app.add_routes([*admin_routes(metrics, readiness), *extra_routes])
    guard = PeerGuard(ADMIN_LIMITS, SystemClock(), Metrics())
    return await serve_http(ip, port, app, guard=guard, max_body=MAX_ADMIN_BODY)
