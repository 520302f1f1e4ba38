"""Upstreams that are silent in the middle of a stream."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tools.platform.standin import WHOLE_STREAM
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform


@pytest.mark.parametrize("others", [0, 1])
async def test_a_silent_stream_ends_only_if_another_upstream_can_take_over(
    platform: Platform, others: int
) -> None:
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "stream")
    engines = platform.servers_of("model")
    if not others:
        await engines[1].drain()
        await engines[1].stop()

        async def alone() -> bool:
            heard: list[str] = []
            for line in platform.log(entry):
                heard += line.get("instances", [])
            return engines[1].instance in heard

        await wait_until(alone, "the entry has one engine")
    for engine in engines:
        engine.actions["slow"] = "pause"
    call = asyncio.create_task(platform.call(entry, "/stream/slow", request_id="slow"))

    async def silent() -> bool:
        lines = [one for one in platform.log(entry) if one.get("request") == "slow"]
        silences = [one for one in lines if one["message"] == "upstream silent"]
        return len(silences) >= 2

    await wait_until(silent, "the stream has been silent for two limits")
    for engine in engines:
        engine.release.set()
    answer = await call
    assert (answer.status, answer.body, answer.cut) == (200, WHOLE_STREAM, False)
    runs = sum(engine.count("slow") for engine in engines)
    assert runs == 1 + others
