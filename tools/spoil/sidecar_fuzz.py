"""Sends calls through real sidecars to services that mutate their answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from leadseam.entry.error_responses import UNAVAILABLE
from leadseam.platform import names
from leadseam.runtime.admin import serve_http
from tools.fleet import Fleet
from tools.platform.nodes import Answer
from tools.ports import LOOPBACK
from tools.spoil.fuzz import FuzzResult
from tools.spoil.judge import (
    Judge,
    Kind,
    Verdict,
    decode_answer,
    split_blocks,
    states_numbers,
)
from tools.spoil.mutations import Mutation
from tools.spoil.spoiler import EVENTS, Spoiler

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

SERVICES = 4
"""Services, each with a caller of its own."""
PATHS = ("stream", "plain")
METHODS = ("GET", "POST")
MUTATED = "fuzz-"
"""Start of the ids of the calls whose answers are mutated."""
SOUND = "sound-"
"""Start of the ids of the calls between them."""
MAX_REFUSALS = 400
"""Refusals of a sound call after which the service counts as lost."""
REFUSAL_PAUSE = 0.05
"""Seconds between two of them."""
EVENT_END = b"\n\n"
ERROR_EVENT = b"event: error"
"""Start of the event by which an entry ends a stream that it breaks off."""


@dataclass
class MutatingService:
    """A service in this process, behind a real sidecar.

    Args:
        mutating: Answers the calls whose answers are mutated.
        sound: Answers the others.
    """

    mutating: Spoiler
    sound: Spoiler

    async def start(self, port: int) -> web.AppRunner:
        """Listen on a port."""
        app = web.Application()
        app.router.add_get("/health", self._health)
        app.router.add_route("*", "/{path:stream|plain}", self._answer)
        return await serve_http(LOOPBACK, port, app)

    async def _health(self, _: web.Request) -> web.Response:
        return web.json_response({})

    async def _answer(self, http: web.Request) -> web.StreamResponse:
        await http.read()
        is_mutated = self.mutating.answers(http.headers[names.REQUEST_ID])
        spoiler = self.mutating if is_mutated else self.sound
        response, _ = spoiler.answer(http, {})
        return response


class SidecarFuzz:
    """Sends the calls of a seed through sidecars, and judges their answers.

    Behind each call a sound one is sent: failures in a row would take a service out.

    Args:
        fleet: An empty fleet.
        seed: Seed for the calls and the mutations.
        mutations: Mutations that services may make.
    """

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        *,
        mutations: frozenset[Mutation] = frozenset(Mutation),
    ) -> None:
        self.result = FuzzResult(seed)
        self._fleet = fleet
        self._seed = seed
        self._judge = Judge(EVENTS)
        self._service = MutatingService(
            Spoiler(
                self._judge,
                seed,
                MUTATED,
                mutations,
                first_fraction=1.0,
                later_fraction=1.0,
                counts=False,
            ),
            Spoiler(
                self._judge,
                seed,
                SOUND,
                first_fraction=0.0,
                later_fraction=0.0,
                counts=False,
            ),
        )

    async def start(self) -> None:
        """Start the processes and the services."""
        fleet = self._fleet
        services = [f"service-{number}" for number in range(SERVICES)]
        fleet.add_control()
        for name in services:
            fleet.add_pool(name)
            fleet.add_upstream(name, pool=name, kind="service")
            # The service runs in this process instead.
            [port] = fleet.nodes.pop(name).ports
            runner = await self._service.start(port)
            fleet.add_cleanup(runner.cleanup)
        fleet.add_account("tellers", services=tuple(services))
        fleet.add_entry("entry-1")
        await fleet.start_all()

    async def run(self, count: int) -> FuzzResult:
        """Send a number of calls and return what their callers got."""
        numbers = iter(range(count))
        async with asyncio.TaskGroup() as group:
            for number in range(SERVICES):
                group.create_task(self._send_all(f"service-{number}", numbers))
        return self.result

    async def _send_all(self, service: str, numbers: Iterator[int]) -> None:
        for number in numbers:
            rng = random.Random(f"{self._seed} {number}")
            path, method = rng.choice(PATHS), rng.choice(METHODS)
            request_id = f"{MUTATED}{self._seed}-{number}"
            answer = await self._call(service, path, method, request_id)
            self._count(path, request_id, answer)
            await self._send_sound(service, path, method, number)

    async def _send_sound(
        self, service: str, path: str, method: str, number: int
    ) -> None:
        """Call until the service is in use, and check that answer."""
        for again in range(MAX_REFUSALS):
            request_id = f"{SOUND}{self._seed}-{number}-{again}"
            answer = await self._call(service, path, method, request_id)
            if answer.status != UNAVAILABLE:
                break
            await asyncio.sleep(REFUSAL_PAUSE)
        self._count(path, request_id, answer)

    async def _call(
        self, service: str, path: str, method: str, request_id: str
    ) -> Answer:
        body = b""
        url = self._fleet.url("entry-1", f"/services/{service}/{path}")
        headers = {
            "Authorization": "Bearer key-tellers",
            names.REQUEST_ID: request_id,
        }
        try:
            async with self._fleet.http.request(method, url, headers=headers) as resp:
                async for data in resp.content.iter_any():
                    body += data
                return Answer(resp.status, body, {})
        except aiohttp.ClientError:
            return Answer(0, body.partition(ERROR_EVENT)[0], {}, cut=True)

    def _count(self, path: str, request_id: str, answer: Answer) -> None:
        verdict = self._verdict(path, request_id, answer)
        made = self._judge.made.pop(request_id, [])
        kind = "sound" if request_id.startswith(SOUND) else "mutated"
        if kind == "sound" and verdict.kind is not Kind.WHOLE:
            verdict = Verdict(Kind.WRONG, f"a sound answer is {verdict.kind}")
        self.result.add(f"{kind} {path}", request_id, answer, verdict, made)

    def _verdict(self, path: str, request_id: str, answer: Answer) -> Verdict:
        is_stream = path == "stream"
        verdict = self._judge.judge(
            request_id, answer.status, answer.body, cut=answer.cut, is_stream=is_stream
        )
        if verdict.kind is not Kind.WRONG:
            return verdict
        # A sidecar doesn't know that events are due, nor which, unless the answer says.
        unstated = [
            decoded
            for one in self._judge.made[request_id]
            if (decoded := decode_answer(one.sent)) and not states_numbers(one.sent)
        ]
        for status, body in unstated:
            part = answer.cut and body.startswith(answer.body)
            if part or (status, body) == (answer.status, answer.body):
                return Verdict(Kind.PLAIN)
        blocks, _ = split_blocks(answer.body)
        if blocks and blocks[0].startswith(b"id: 0\n"):
            # Streams may count from 0, so this event was due.
            rest = answer.body[len(blocks[0]) + len(EVENT_END) :]
            verdict = self._judge.judge(
                request_id, answer.status, rest, cut=answer.cut, is_stream=is_stream
            )
            return verdict if verdict.kind is Kind.WRONG else Verdict(Kind.EXTRA)
        return verdict


async def run_seed(
    folder: Path,
    seed: int,
    count: int,
    *,
    sources: str = "",
    mutations: frozenset[Mutation] = frozenset(Mutation),
) -> FuzzResult:
    """Run one seed in an empty folder and return its result."""
    fleet = Fleet(folder, sources=sources)
    fuzz = SidecarFuzz(fleet, seed, mutations=mutations)
    try:
        await fuzz.start()
        return await fuzz.run(count)
    finally:
        await fleet.close()
