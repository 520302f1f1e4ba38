"""The stand-in program, which runs one fake engine, service or platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.errors import SettingsError
from leadseam.runtime.admin import serve_http
from leadseam.standin.engine import EngineStandin
from leadseam.standin.platform import PlatformStandin
from leadseam.standin.service import ServiceStandin

if TYPE_CHECKING:
    from leadseam.settings.models import StandinSettings


def _routes(settings: StandinSettings) -> list[web.AbstractRouteDef]:
    match settings.kind:
        case "engine":
            engine = EngineStandin(
                slots=settings.slots, token_interval=settings.token_interval
            )
            return engine.routes()
        case "service":
            return ServiceStandin(service_time=settings.service_time).routes()
        case "platform":
            return PlatformStandin().routes()
        case kind:
            raise SettingsError(f"$.kind: no such stand-in {kind!r}")


class StandinProgram:
    """A stand-in process with its HTTP server.

    Args:
        settings: Settings of the stand-in.
    """

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Start the HTTP server."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.add_routes(_routes(self._settings))
        listen = self._settings.listen
        self._runner = await serve_http(listen.ip, listen.port, app)

    async def run(self) -> None:
        """Serve until cancelled."""
        await asyncio.Event().wait()

    async def drain(self) -> None:
        """Do nothing; a stand-in stops without draining."""

    async def stop(self) -> None:
        """Stop the HTTP server."""
        if self._runner is not None:
            await self._runner.cleanup()
