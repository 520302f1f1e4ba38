"""A fake transaction service that counts the executions of each request."""

from __future__ import annotations

from collections import Counter

from aiohttp import web

from leadseam.clock import Millis, sleep
from leadseam.standin.answer_plans import AnswerPlan
from leadseam.standin.spoilt_streams import spoil_stream

EVENTS = b"".join(b"id: %d\ndata: line %d\n\n" % (n, n) for n in range(1, 5))
"""Body of a stream whose end is planned."""
DOCUMENT = b'{"slip": "printed", "copies": 1}'
"""Body of a plain answer whose end is planned."""


class ServiceStandin:
    """Executes `POST /run/{name}` and counts executions by name.

    The query `?padding=N` lengthens the answer by N characters. A request
    whose path ends with an `AnswerPlan` is answered as planned.

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
            web.route("*", "/{kind:events|document}/{plan}", self._follow_plan),
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

    async def _follow_plan(self, http: web.Request) -> web.Response:
        plan = AnswerPlan.parse(http.match_info["plan"])
        if plan is None:
            raise web.HTTPNotFound
        is_stream = http.match_info["kind"] == "events"
        content_type = "text/event-stream" if is_stream else "application/json"
        body = spoil_stream(EVENTS, plan.spoil) if is_stream else DOCUMENT
        assert http.transport is not None
        await http.read()
        http.transport.write(plan.encode(200, {"Content-Type": content_type}, body))
        plan.finish_connection(http)
        return web.Response()

    async def _show(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self._runs))

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({})
