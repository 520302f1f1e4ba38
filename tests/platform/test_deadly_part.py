"""A prompt part that crashes each upstream that begins an answer on it.

Guards against evidence that is kept by whole requests only: each request with the part
has a body of its own, so that none is ever recognized, while other requests of the same
caller share all of its other parts and must be served.
"""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Answer, Platform
    from tools.platform.standin import Server

DEADLY = "dead01"
OTHER_DEADLY = "dead02"
SHARED = ("5a5a01", "5a5a02")
ENDS_TOLERATED = 5
LATE_SENDS_TOLERATED = 3
CONTACT_TIME = 3.0
"""Seconds after the fifth crash from which sends count."""
FIRST, MIDDLE, LAST_SHARED = 0, 1, 2


@dataclass
class Prompts:
    """Prompts that share all parts but the last, with and without the deadly part.

    Args:
        position: Position of the deadly part among the shared ones.
    """

    position: int
    _numbers: itertools.count[int] = field(default_factory=itertools.count)

    def sound(self) -> list[str]:
        """Return the parts of a prompt that crashes nothing."""
        return [*SHARED, f"{next(self._numbers):x}ee"]

    def deadly(self, part: str = DEADLY) -> list[str]:
        """Return the parts of a prompt that crashes each upstream."""
        parts = self.sound()
        parts.insert(self.position, part)
        return parts


async def call(platform: Platform, entry: str, parts: list[str]) -> Answer:
    """Send a request for a stream, whose body is unlike any other."""
    headers = {
        names.PROMPT_PARTS: ",".join(f"{part}:100" for part in parts),
        names.TOKENS: f"{100 * len(parts)},30",
    }
    body = f'{{"last":"{parts[-1]}"}}'.encode()
    return await platform.call(entry, "/stream/chat", headers=headers, body=body)


async def add_engines(platform: Platform, *, events_before_crash: int) -> list[Server]:
    """Return four engines, which the deadly part crashes."""
    for ip in platform.server_ips[4:6]:
        await platform.add_server(ip, "model")
    engines = platform.servers_of("model")
    for engine in engines:
        engine.deadly_parts.add(DEADLY)
        engine.events_before_crash = events_before_crash
    await wait_engines_up(platform, engines)
    return engines


async def wait_engines_up(platform: Platform, engines: list[Server]) -> None:
    """Wait until each engine is up and has registered, and both entries serve."""
    acks: dict[str, int] = {}

    async def up() -> bool:
        for engine in engines:
            acks.setdefault(engine.incarnation, engine.acks)
        return all(
            engine.is_up and engine.acks >= acks[engine.incarnation] + 2
            for engine in engines
        )

    await wait_until(up, "all engines are up and registered")
    for entry in platform.entry_ips:
        await platform.wait_served(entry)


def crash_times(engines: list[Server]) -> list[float]:
    """Return when engines have crashed, on the monotonic clock, in order."""
    return sorted(run.at for engine in engines for run in engine.crashes)


def late_arrivals(engines: list[Server]) -> list[float]:
    """Return arrivals later than tolerated after the fifth crash."""
    crashes = crash_times(engines)
    if len(crashes) < ENDS_TOLERATED:
        return []
    limit = crashes[ENDS_TOLERATED - 1] + CONTACT_TIME
    arrivals = (one for engine in engines for one in engine.part_arrivals)
    return [arrival.at for arrival in arrivals if arrival.at > limit]


@pytest.mark.parametrize(
    ("position", "events_before_crash"), [(FIRST, 1), (MIDDLE, 0), (LAST_SHARED, 1)]
)
async def test_a_deadly_prompt_part_is_refused_everywhere_whatever_request_holds_it(
    platform: Platform, position: int, events_before_crash: int
) -> None:
    engines = await add_engines(platform, events_before_crash=events_before_crash)
    prompts = Prompts(position)
    for round_ in range(2 * ENDS_TOLERATED):
        entry = platform.entry_ips[round_ % len(platform.entry_ips)]
        await call(platform, entry, prompts.sound())
        await call(platform, entry, prompts.deadly())
        await wait_engines_up(platform, engines)
    assert len(crash_times(engines)) <= ENDS_TOLERATED
    for entry in platform.entry_ips:
        refused = await call(platform, entry, prompts.deadly())
        assert (refused.status, b'"crashes_upstreams"' in refused.body) == (503, True)
        assert b'"not_run"' in refused.body
        assert names.RETRY_AFTER not in refused.headers
        assert (await call(platform, entry, prompts.sound())).status == 200
        lines = [one for one in platform.log(entry) if "fingerprint" in one]
        refusals = [one for one in lines if one["message"] == "request refused"]
        assert {one["fingerprint"] for one in refusals} == {f"part:{DEADLY}"}


async def test_each_of_two_deadly_prompt_parts_is_refused(platform: Platform) -> None:
    engines = await add_engines(platform, events_before_crash=0)
    for engine in engines:
        engine.deadly_parts.add(OTHER_DEADLY)
    prompts = Prompts(MIDDLE)
    for round_ in range(2 * ENDS_TOLERATED):
        entry = platform.entry_ips[round_ % len(platform.entry_ips)]
        await call(platform, entry, prompts.sound())
        for part in (DEADLY, OTHER_DEADLY):
            await call(platform, entry, prompts.deadly(part))
        await wait_engines_up(platform, engines)
    assert len(crash_times(engines)) <= 2 * ENDS_TOLERATED
    for entry in platform.entry_ips:
        for part in (DEADLY, OTHER_DEADLY):
            refused = await call(platform, entry, prompts.deadly(part))
            assert b'"crashes_upstreams"' in refused.body
        assert (await call(platform, entry, prompts.sound())).status == 200


async def test_a_deadly_prompt_part_is_still_refused_after_all_boxes_were_killed(
    platform: Platform,
) -> None:
    engines = await add_engines(platform, events_before_crash=0)
    prompts = Prompts(MIDDLE)
    first = platform.entry_ips[0]

    async def refused() -> bool:
        answer = await call(platform, first, prompts.deadly())
        await wait_engines_up(platform, engines)
        return b'"crashes_upstreams"' in answer.body

    await wait_until(refused, "the part is refused")
    # The control group is told in the background.
    await asyncio.sleep(1.0)
    crashed = len(crash_times(engines))
    boxes = [*platform.control_ips, *platform.entry_ips]
    for ip in boxes:
        platform.kill(ip)
    for ip in boxes:
        platform.start(ip)
    await wait_engines_up(platform, engines)
    for entry in platform.entry_ips:
        answer = await call(platform, entry, prompts.deadly())
        assert b'"crashes_upstreams"' in answer.body
    assert len(crash_times(engines)) == crashed


async def test_a_prompt_part_in_steady_use_that_turns_deadly_is_refused(
    platform: Platform,
) -> None:
    engines = await add_engines(platform, events_before_crash=0)
    for engine in engines:
        engine.deadly_parts.clear()
    prompts = Prompts(MIDDLE)
    end = time.monotonic() + 3 * CONTACT_TIME
    answered: list[float] = []

    async def call_steadily(entry: str) -> None:
        while time.monotonic() < end:
            answer = await call(platform, entry, prompts.deadly())
            if answer.status == 200:
                answered.append(time.monotonic())
            await asyncio.sleep(0.05)

    async def turn_deadly() -> None:
        await asyncio.sleep(CONTACT_TIME / 2)
        assert answered
        for engine in engines:
            engine.deadly_parts.add(DEADLY)

    async with asyncio.TaskGroup() as group:
        group.create_task(turn_deadly())
        for entry in platform.entry_ips:
            group.create_task(call_steadily(entry))
            group.create_task(call_steadily(entry))
    assert len(late_arrivals(engines)) <= LATE_SENDS_TOLERATED
    await wait_engines_up(platform, engines)
    for entry in platform.entry_ips:
        refused = await call(platform, entry, prompts.deadly())
        assert b'"crashes_upstreams"' in refused.body
        assert (await call(platform, entry, prompts.sound())).status == 200


async def test_a_deadly_prompt_part_does_not_keep_out_requests_that_share_the_others(
    platform: Platform,
) -> None:
    engines = await add_engines(platform, events_before_crash=0)
    prompts = Prompts(MIDDLE)
    began = time.monotonic()
    answers: list[tuple[float, int]] = []

    async def send_deadly(entry: str) -> None:
        while time.monotonic() - began < 5 * CONTACT_TIME:
            await call(platform, entry, prompts.deadly())
            await asyncio.sleep(0.2)

    async def send_sound(entry: str) -> None:
        while time.monotonic() - began < 5 * CONTACT_TIME:
            answer = await call(platform, entry, prompts.sound())
            answers.append((time.monotonic(), answer.status))
            await asyncio.sleep(0.1)

    async with asyncio.TaskGroup() as group:
        for entry in platform.entry_ips:
            group.create_task(send_deadly(entry))
            group.create_task(send_sound(entry))
            group.create_task(send_sound(entry))
    assert len(late_arrivals(engines)) <= LATE_SENDS_TOLERATED
    crashes = crash_times(engines)
    last_counted = crashes[min(len(crashes), ENDS_TOLERATED) - 1]
    later = [status for at, status in answers if at > last_counted + 2 * CONTACT_TIME]
    assert len(later) >= 20
    assert sum(status == 200 for status in later) >= len(later) / 2
