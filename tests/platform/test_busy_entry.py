"""A busy entry redirects callers to entries with room, with real processes.

Guards against entries that do not tell each other of their room, or do not use it.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from leadseam.routing.entry_room import LAST_PAUSE
from tools.platform.nodes import KEY, Answer, Platform
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

STOPPED_S, RUNNING_S = 0.18, 0.02
"""Seconds for which the busy entry is stopped and runs in turn: it has a tenth of the
processor time."""


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A running platform with four entries that know their limits."""
    limits = {"limits.cpuShare": 0.4, "limits.memoryMb": 256}
    platform = Platform(tmp_path, entries=4, limits=limits)
    try:
        await platform.start_all()
        yield platform
    finally:
        await platform.close()


async def _withhold_processor_time(platform: Platform, entry: str) -> None:
    while True:
        platform.signal(entry, signal.SIGSTOP)
        await asyncio.sleep(STOPPED_S)
        platform.signal(entry, signal.SIGCONT)
        await asyncio.sleep(RUNNING_S)


async def test_a_busy_entry_redirects_while_others_have_room(
    platform: Platform,
) -> None:
    busy, other, *_ = platform.entry_ips
    redirected: list[Answer] = []

    async def is_redirected() -> bool:
        # The account's callers use another entry as well.
        await platform.call(other, "/safe/x", headers={names.TOKENS: "900,80"})
        request = ("/safe/x", "POST", b"{}", {"Connection": "close"}, "", KEY)
        answer = await platform._call_once(busy, *request, lambda _: None)
        pause = float(answer.headers.get(names.RETRY_AFTER, "1"))
        if b'"entry_busy"' in answer.body and pause <= LAST_PAUSE / 1_000:
            redirected.append(answer)
        return bool(redirected)

    async def has_logged_its_room() -> bool:
        lines = platform.log(busy)
        return any(
            line["message"] == "room for more requests" and not line["has_room"]
            for line in lines
        )

    throttling = asyncio.create_task(_withhold_processor_time(platform, busy))
    try:
        await wait_until(is_redirected, "the busy entry redirects a caller")
    finally:
        throttling.cancel()
    platform.signal(busy, signal.SIGCONT)
    assert redirected[0].status == 503
    assert b'"not_run"' in redirected[0].body
    assert (await platform.call(other, "/safe/x")).status == 200
    await wait_until(has_logged_its_room, "the busy entry logs that it has no room")
