"""The admin server of every process: /healthz, /readyz and /metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from leadseam.runtime.metrics import Metrics

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
    ip: str, port: int, app: web.Application, *, grace: float = 0.5
) -> web.AppRunner:
    """Start an HTTP server for an application.

    Args:
        ip: IP address to bind.
        port: Port to bind.
        app: Application to serve.
        grace: Seconds that open connections have to finish at shutdown. Defaults to
            0.5.

    Returns:
        The runner; the caller stops the server with its `cleanup`.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=grace, handler_cancellation=True
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
    """Serve the admin routes and the additional routes of a role."""
    app = web.Application()
    app.add_routes([*admin_routes(metrics, readiness), *extra_routes])
    return await serve_http(ip, port, app)
