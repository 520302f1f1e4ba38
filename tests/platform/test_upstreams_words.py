"""What servers say of themselves in their answers, with real processes."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.platform.pauses import MAX_ARRIVALS, SLACK, arrivals_in_rests

if TYPE_CHECKING:
    from tools.platform.nodes import Answer, Platform
    from tools.platform.standin import Server

REST = 1.5
"""Seconds for which a server wants nothing more from an entry."""
CALLERS = 3
"""Callers of each entry, fewer than one server alone takes at a time."""
DRAIN = 2.0
"""Seconds after which a leaving server gets nothing new: the users' shortest bound."""


class Callers:
    """Call a path through both entries until told to stop.

    Args:
        platform: Where to call.
        path: What to call.
    """

    def __init__(self, platform: Platform, path: str) -> None:
        self._platform = platform
        self._path = path
        self._stopping = False
        self.entry_of: dict[str, str] = {}
        self.sent_at: dict[str, float] = {}
        self.answers: list[Answer] = []

    async def __aenter__(self) -> Callers:
        self._tasks = [
            asyncio.create_task(self._run(entry, f"{entry}-{number}"))
            for entry in self._platform.entry_ips
            for number in range(CALLERS)
        ]
        return self

    async def __aexit__(self, *_: object) -> None:
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _run(self, entry: str, caller: str) -> None:
        number = 0
        while not self._stopping:
            number += 1
            request_id = f"{caller}-{number}"
            self.entry_of[request_id] = entry
            self.sent_at[request_id] = time.monotonic()
            answer = await self._platform.call(entry, self._path, request_id=request_id)
            self.answers.append(answer)
            await asyncio.sleep(0.005)


async def passes(seconds: float) -> None:
    """Wait until some time has passed."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        await asyncio.sleep(0.05)


def rests_until(server: Server, number: int) -> float:
    """Return when the time is over that a refusal of a server stated."""
    rest = server.pauses[number]
    return rest.at + rest.length


async def check_rests(platform: Platform, service: str, path: str) -> None:
    """Have a server of two ask for a rest, and look at what reaches it."""
    resting = platform.servers_of(service)[0]
    resting.pause_length = REST
    resting.default_action = "rest"
    async with Callers(platform, path) as callers:
        while len(resting.pauses) < 2:
            await asyncio.sleep(0.01)
        while time.monotonic() < rests_until(resting, 1) + SLACK:
            await asyncio.sleep(0.01)
    most = arrivals_in_rests(resting, callers.entry_of)
    assert most.count <= MAX_ARRIVALS, most
    assert {answer.status for answer in callers.answers} == {200}


async def test_a_server_that_asks_for_a_rest_gets_nothing_in_that_time(
    platform: Platform,
) -> None:
    await check_rests(platform, "model", "/stream/x")
    await check_rests(platform, "plain", "/safe/x")


async def test_a_server_that_says_only_in_answers_that_it_leaves_gets_nothing_new(
    platform: Platform,
) -> None:
    leaving = platform.servers_of("model")[0]
    leaving.announces_leaving = True
    async with Callers(platform, "/stream/x") as callers:
        while not leaving.runs:
            await asyncio.sleep(0.01)
        first = time.monotonic()
        await passes(DRAIN + 1.0)
    late = [
        run.request_id
        for run in leaving.runs
        if callers.sent_at.get(run.request_id, 0) > first + DRAIN
    ]
    assert late == []
    assert leaving.state == "ready"
    passed_on = [a for a in callers.answers if a.headers.get(names.LEAVING) == "1"]
    assert passed_on
    assert {answer.status for answer in callers.answers} == {200}
