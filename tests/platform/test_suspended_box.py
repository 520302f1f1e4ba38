"""Boxes that are suspended for seconds, with real processes.

The story: a box is suspended while it serves and goes on seconds later. Its steady
clock leaves that time out, and so do the timers of its event loop: what was due is late
by the time away, and what was believed looks as fresh as before.
The evidence: before the repair the clock below showed 1 ms for a suspension of 1 s, an
upstream was told of 4,945 ms where 3,000 were left, and a request whose deadline had
passed was answered after one that had 2 s left.
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from tools.platform.nodes import Platform
from tools.platform.suspension import SteadyClock
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from tools.platform.standin import Server

AWAY = 2.0
"""Seconds for which a box is suspended."""
SHOW_CLOCK = """
import sys
from tools.platform.suspendable import leave_out
leave_out(sys.argv[1])
from leadseam.clock import SystemClock
clock = SystemClock()
while input():
    print(clock.now(), flush=True)
"""


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A running platform whose boxes can be suspended."""
    platform = Platform(tmp_path, suspendable=True)
    try:
        await platform.start_all()
        yield platform
    finally:
        await platform.close()


async def test_the_clock_counts_the_time_away(tmp_path: Path) -> None:
    steady = SteadyClock(tmp_path / "left-out")
    with subprocess.Popen(
        [sys.executable, "-c", SHOW_CLOCK, str(steady.file)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as process:
        assert process.stdin is not None and process.stdout is not None

        def show() -> int:
            assert process.stdin is not None and process.stdout is not None
            process.stdin.write(b"now\n")
            process.stdin.flush()
            return int(process.stdout.readline())

        before = show()
        await steady.suspend(process, 1.0)
        assert show() - before >= 1_000
        process.stdin.write(b"\n")


async def held_by(platform: Platform, path: str) -> Server:
    """Wait until a server holds a request, and return that one."""

    async def held() -> bool:
        return any(run.target == path for one in platform.servers for run in one.runs)

    await wait_until(held, f"{path} is held")
    return next(
        one for one in platform.servers for run in one.runs if run.target == path
    )


async def test_an_upstream_is_told_no_more_time_than_is_left(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    for server in platform.of("plain"):
        server.behave["held"] = "hold"
    call = asyncio.create_task(platform.call(entry, "/safe/held", method="GET"))
    holder = await held_by(platform, "/safe/held")
    suspended = asyncio.create_task(platform.suspend(entry, AWAY))
    (other,) = (one for one in platform.of("plain") if one is not holder)
    other.behave.clear()
    await asyncio.sleep(0)
    await holder.stop()
    platform.servers.remove(holder)
    await suspended
    assert (await call).status == 200
    (run,) = (run for run in other.runs if run.target == "/safe/held")
    assert int(run.headers[names.DEADLINE]) <= 5_000 - AWAY * 1_000


async def test_what_is_past_its_deadline_ends_before_what_has_time_left(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    for server in platform.of("plain"):
        server.behave |= {"first": "hold", "second": "hold"}
    ended: list[str] = []

    async def call(name: str, left: int) -> int:
        headers = {names.DEADLINE: str(left)}
        path = f"/once/{name}"
        answer = await platform.call(entry, path, headers=headers)
        ended.append(name)
        return answer.status

    first = asyncio.create_task(call("first", 4_500))
    await held_by(platform, "/once/first")
    await platform.suspend(entry, 5.0)
    second = asyncio.create_task(call("second", 2_000))
    assert (await first, await second) == (504, 504)
    assert ended == ["first", "second"]
