"""Suspended entries on the path through sidecars, with real processes.

Guards against late refusals: if an entry is suspended while a request waits for a slot,
the event loop's timer for the deadline doesn't count the suspension, so the refusal is
late by its whole duration. Before the fix, an entry suspended for 1 s refused a request
whose deadline had passed after one that had 0.4 s left.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from tests.test_callers import engine_busy
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet

CHAT = "/v1/chat/completions"
SUSPENSION_S = 1.0
"""Seconds for which a process is suspended. Links are closed after 2 s."""


async def test_request_past_its_deadline_is_refused_before_one_with_time_left(
    fleet: Fleet,
) -> None:
    fleet.add_control()
    fleet.add_pool("rates-1", model="rates")
    fleet.add_upstream(
        "engine-1", pool="rates-1", kind="engine", slots=1, token_interval=100
    )
    fleet.add_account("tellers", models=("rates",))
    fleet.add_entry("entry-1")
    fleet.make_suspendable("entry-1")
    await fleet.start_all()
    running = asyncio.create_task(
        fleet.chat("entry-1", "tellers", "rates", tokens=1_000)
    )
    await wait_until(lambda: engine_busy(fleet), "the engine is busy")
    ended: list[str] = []

    async def call(name: str, left: int) -> tuple[int, str]:
        headers = {"X-Leadseam-Deadline-Ms": str(left)}
        body = json.dumps({"model": "rates", "messages": []}).encode()
        status, answer = await fleet.post("entry-1", CHAT, "tellers", body, headers)
        ended.append(name)
        return status, json.loads(answer)["error"]["code"]

    first = asyncio.create_task(call("first", 900))
    await wait_until(lambda: _waits(fleet, first), "the first request waits")
    await fleet.suspend("entry-1", SUSPENSION_S)
    second = asyncio.create_task(call("second", 400))
    passed = (504, "deadline_passed")
    assert (await first, await second) == (passed, passed)
    assert ended == ["first", "second"]
    assert await fleet.metric("entry-1", "suspended_ms_total")
    running.cancel()


async def _waits(fleet: Fleet, call: asyncio.Task[tuple[int, str]]) -> bool:
    """Return whether a call waits at the entry or has already ended."""
    waiting = await fleet.metric("entry-1", "waiting_requests")
    return waiting.get("") == 1 or call.done()
