"""Silent attempts end, those that go on do not."""

from __future__ import annotations

import asyncio

import pytest

from leadseam.routing.silence import SilenceWatch, first_byte_limit, gap_limit


async def test_silence_ends_an_attempt_that_may_go_on_elsewhere() -> None:
    with pytest.raises(TimeoutError):
        async with SilenceWatch(lambda: True) as watch:
            watch.reset(10)
            await asyncio.Event().wait()


async def test_silence_is_told_again_and_again_where_nothing_may_be_done() -> None:
    told = 0
    enough = asyncio.Event()

    def note() -> bool:
        nonlocal told
        told += 1
        if told == 3:
            enough.set()
        return False

    async with SilenceWatch(note) as watch:
        watch.reset(5)
        await enough.wait()
    assert told == 3


async def test_signs_of_life_put_the_limit_back() -> None:
    told: list[float] = []
    loop = asyncio.get_running_loop()

    def note() -> bool:
        told.append(loop.time())
        return True

    last = 0.0
    with pytest.raises(TimeoutError):
        async with SilenceWatch(note) as watch:
            for _ in range(5):
                last = loop.time()
                watch.reset(200)
                await asyncio.sleep(0.001)
            await asyncio.Event().wait()
    assert told[0] - last >= 0.2 - 1e-6


def test_limits_follow_the_route_and_what_is_expected() -> None:
    assert first_byte_limit(800, 0) == 1_200
    assert first_byte_limit(100, 0) == 500
    assert first_byte_limit(800, 1_000) == 3_000
    assert gap_limit(300) == 1_200
    assert gap_limit(0) == 1_000
