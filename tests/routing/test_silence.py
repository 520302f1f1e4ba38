"""Silent attempts are ended, active ones are not."""

from __future__ import annotations

import asyncio

import pytest

from leadseam.routing.silence import SilenceWatch, first_byte_limit, gap_limit


async def test_silence_ends_an_attempt_that_may_be_retried() -> None:
    with pytest.raises(TimeoutError):
        async with SilenceWatch(lambda: True) as watch:
            watch.reset(10)
            await asyncio.Event().wait()


async def test_silence_is_reported_repeatedly_if_the_attempt_may_not_end() -> None:
    reported = 0
    enough = asyncio.Event()

    def note() -> bool:
        nonlocal reported
        reported += 1
        if reported == 3:
            enough.set()
        return False

    async with SilenceWatch(note) as watch:
        watch.reset(5)
        await enough.wait()
    assert reported == 3


async def test_activity_resets_the_limit() -> None:
    reported: list[float] = []
    loop = asyncio.get_running_loop()

    def note() -> bool:
        reported.append(loop.time())
        return True

    last = 0.0
    with pytest.raises(TimeoutError):
        async with SilenceWatch(note) as watch:
            for _ in range(5):
                last = loop.time()
                watch.reset(200)
                await asyncio.sleep(0.001)
            await asyncio.Event().wait()
    assert reported[0] - last >= 0.2 - 1e-6


def test_limits_follow_the_route_and_the_expected_time() -> None:
    assert first_byte_limit(800, 0) == 1_200
    assert first_byte_limit(100, 0) == 500
    assert first_byte_limit(800, 1_000) == 3_000
    assert gap_limit(300) == 1_200
    assert gap_limit(0) == 1_000
