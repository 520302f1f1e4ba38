"""A fake transaction service that counts the executions of each request."""

from __future__ import annotations

from collections import Counter

from aiohttp import web

from leadseam.clock import Millis, sleep


class ServiceStandin:
    """Executes `POST /run/{name}` and counts executions by name.

    The query `?padding=N` lengthens the answer by N characters.

    Args:
        service_time: Milliseconds that an execution takes.
    """

    def __init__(self, *, service_time: Millis) -> None:
        self._service_time = service_time
        self._runs: Counter[str] = Counter()

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes of the service."""
        return [
            web.post("/run/{name}", self._run),
            web.get("/runs", self._show),
            web.get("/health", self._health),
        ]

    async def _run(self, http: web.Request) -> web.Response:
        name = http.match_info["name"]
        # Count before the work, as a real service commits before it answers.
        self._runs[name] += 1
        body = await http.read()
        await sleep(self._service_time)
        answer = {"name": name, "run": self._runs[name], "size": len(body)}
        if "padding" in http.query:
            answer["padding"] = "x" * int(http.query["padding"])
        return web.json_response(answer)

    async def _show(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self._runs))

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({})
