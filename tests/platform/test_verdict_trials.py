"""A verdict that is wrong, or is no longer right, ends by a trial at one entry."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from tests.platform.test_deadly_part import (
    MIDDLE,
    Prompts,
    add_engines,
    call,
    crash_times,
    wait_engines_up,
)
from tools.platform import short_trials
from tools.platform.nodes import Platform
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tools.platform.standin import Server

SENT = "request is sent to try its verdict"


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A running platform that tries verdicts soon."""
    platform = Platform(tmp_path, module=short_trials.MODULE)
    try:
        await platform.start_all()
        yield platform
    finally:
        await platform.close()


async def convict(platform: Platform, prompts: Prompts) -> list[Server]:
    """Return engines that a part has crashed until it was refused."""
    engines = await add_engines(platform, events_before_crash=0)

    async def refused() -> bool:
        answer = await call(platform, platform.entry_ips[0], prompts.deadly())
        await wait_engines_up(platform, engines)
        return b'"crashes_upstreams"' in answer.body

    await wait_until(refused, "the part is refused")
    return engines


def count_trials(platform: Platform) -> int:
    """Return how many requests were sent in spite of a verdict."""
    lines = (line for ip in platform.entry_ips for line in platform.log(ip))
    return sum(line["message"] == SENT for line in lines)


async def test_a_verdict_on_a_part_that_crashes_nothing_any_more_ends_everywhere(
    platform: Platform,
) -> None:
    prompts = Prompts(MIDDLE)
    engines = await convict(platform, prompts)
    crashed = len(crash_times(engines))
    for engine in engines:
        engine.deadly_parts.clear()

    async def served() -> bool:
        answers = [
            await call(platform, entry, prompts.deadly())
            for entry in platform.entry_ips
        ]
        return all(answer.status == 200 for answer in answers)

    await wait_until(served, "the part is served at all entries")
    assert count_trials(platform) == 1
    assert len(crash_times(engines)) == crashed


async def test_each_trial_of_a_verdict_that_is_right_costs_one_upstream(
    platform: Platform,
) -> None:
    prompts = Prompts(MIDDLE)
    engines = await convict(platform, prompts)
    crashed = len(crash_times(engines))
    end = time.monotonic() + 8 * short_trials.PAUSE

    async def call_steadily(entry: str) -> None:
        while time.monotonic() < end:
            await call(platform, entry, prompts.deadly())
            await asyncio.sleep(0.02)

    async with asyncio.TaskGroup() as group:
        for entry in platform.entry_ips:
            group.create_task(call_steadily(entry))
            group.create_task(call_steadily(entry))
    await wait_engines_up(platform, engines)
    trials = count_trials(platform)
    # After 1, 3 and 7 pauses.
    assert 2 <= trials <= 3
    assert len(crash_times(engines)) == crashed + trials
    for entry in platform.entry_ips:
        answer = await call(platform, entry, prompts.sound())
        assert answer.status == 200
