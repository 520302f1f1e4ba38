"""A fake of the platform's list of live and leaving boxes."""

from __future__ import annotations

from aiohttp import web


class PlatformStandin:
    """Serves the list at `GET /boxes`; tests edit it by `PUT /boxes/{name}/{state}`."""

    def __init__(self) -> None:
        self._boxes: dict[str, str] = {}

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes of the platform."""
        return [
            web.get("/boxes", self._show),
            web.put("/boxes/{name}/{state}", self._set),
        ]

    async def _show(self, _: web.Request) -> web.Response:
        return web.json_response({"boxes": self._boxes})

    async def _set(self, http: web.Request) -> web.Response:
        self._boxes[http.match_info["name"]] = http.match_info["state"]
        return web.json_response({})
