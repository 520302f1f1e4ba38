"""The model of an engine, on an event loop with virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec
import pytest

from leadseam.emulate.engine import MAX_QUEUED, Engine, Run
from leadseam.emulate.settings import EngineSpeed
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.routing.dialect import PromptPart, RoutedRequest
from tests.routing.samples import make_request, make_upstream

SPEED = EngineSpeed(slots=1, read_per_ms=10, step_ms=2, parts_kept=3)


def make_prompt(name: str, *, shared: int = 100, own: int = 200) -> RoutedRequest:
    """Return a request whose prompt has a shared part and a part of its own."""
    parts = (PromptPart("shared", shared), PromptPart(name, own))
    return replace(make_request(), parts=parts)


def simulate(*names: str) -> tuple[list[tuple[str, str, int]], Engine, list[bool]]:
    """Send requests at once.

    Returns:
        Events with the request's name and time, the engine, and for each request
        whether the engine accepted it.
    """
    events: list[tuple[str, str, int]] = []
    loop = VirtualLoop()
    clock = VirtualClock(loop)

    def record(what: str, name: str) -> None:
        events.append((what, name, clock.now()))

    async def run() -> tuple[Engine, list[bool]]:
        engine = Engine(make_upstream(1), SPEED)
        accepted = [
            engine.submit(
                Run(
                    make_prompt(name),
                    5,
                    on_first=lambda name=name: record("first", name),  # type: ignore[misc]
                    on_end=lambda name=name: record("end", name),  # type: ignore[misc]
                )
            )
            for name in names
        ]
        await asyncio.sleep(3_600)
        return engine, accepted

    try:
        engine, accepted = loop.run_until_complete(run())
    finally:
        loop.close()
    return events, engine, accepted


def test_a_request_is_prefilled_and_decoded_while_the_next_one_waits_for_its_slot() -> (
    None
):
    events, engine, _ = simulate("a", "b")
    # "a" prefills 300 tokens and takes five steps, of which the first one gives its
    # first token. "b" prefills only 200, because the shared part is cached.
    assert events == [
        ("first", "a", 32),
        ("end", "a", 40),
        ("first", "b", 62),
        ("end", "b", 70),
    ]
    assert engine.prefilled_tokens == 500
    assert engine.busy_ms == pytest.approx(70)


def test_a_full_queue_accepts_no_request() -> None:
    names = [f"r{number}" for number in range(MAX_QUEUED + 2)]
    events, _, accepted = simulate(*names)
    assert accepted == [True] * (MAX_QUEUED + 1) + [False]
    assert [name for what, name, _ in events if what == "end"] == names[:-1]


def test_an_engine_fetches_parts_one_after_another_and_caches_them() -> None:
    loop = VirtualLoop()
    firsts: list[float] = []
    speed = msgspec.structs.replace(SPEED, slots=2, token_bytes=10, link_mbps=1.0)

    async def run() -> Engine:
        source, engine = (Engine(make_upstream(one), speed) for one in (1, 2))
        for name in ("one", "two"):
            for target, peer in ((source, None), (engine, source)):
                own = PromptPart(f"{name}-{target.row.instance}", 10)
                req = replace(make_request(), parts=(PromptPart(name, 100), own))
                target.submit(
                    Run(req, 1, lambda: firsts.append(loop.time()), call, peer)
                )
        await asyncio.sleep(1)
        return engine

    def call() -> None:
        pass

    try:
        engine = loop.run_until_complete(run())
    finally:
        loop.close()
    # Each fetch takes 8 ms, the own part 1 ms, and the first token a step of 2 ms. The
    # source prefills 110 tokens each time.
    assert firsts == pytest.approx([0.011, 0.013, 0.019, 0.024])
    assert (engine.fetched_tokens, engine.prefilled_tokens) == (200, 20)
    changes = engine.take_cache_changes()
    assert changes == {"one": 0, "two": 100, "one-i-2": 10, "two-i-2": 10}
    assert engine.take_cache_changes() == {}
