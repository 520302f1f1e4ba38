"""The model of an engine, and the loop whose time jumps."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from leadseam.emulate.engine import MAX_QUEUED, Engine, Run
from leadseam.emulate.settings import EngineSpeed
from leadseam.emulate.virtual import VirtualClock, VirtualLoop
from leadseam.routing.dialect import PromptPart, RoutedRequest
from tests.routing.samples import make_request, make_upstream

SPEED = EngineSpeed(slots=1, read_per_ms=10, step_ms=2, parts_kept=3)


def make_prompt(name: str, *, shared: int = 100, own: int = 200) -> RoutedRequest:
    """Return a request of one shared part and one of its own."""
    parts = (PromptPart("shared", shared), PromptPart(name, own))
    return replace(make_request(), parts=parts)


def play(*names: str) -> tuple[list[tuple[str, str, int]], Engine, list[bool]]:
    """Send requests at once; return what happened when, the engine, what it took."""
    seen: list[tuple[str, str, int]] = []
    loop = VirtualLoop()
    clock = VirtualClock(loop)

    def note(what: str, name: str) -> None:
        seen.append((what, name, clock.now()))

    async def run() -> tuple[Engine, list[bool]]:
        engine = Engine(make_upstream(1), SPEED)
        taken = [
            engine.take(
                Run(
                    make_prompt(name),
                    5,
                    on_first=lambda name=name: note("first", name),  # type: ignore[misc]
                    on_end=lambda name=name: note("end", name),  # type: ignore[misc]
                )
            )
            for name in names
        ]
        await asyncio.sleep(3_600)
        return engine, taken

    try:
        engine, taken = loop.run_until_complete(run())
    finally:
        loop.close()
    return seen, engine, taken


def test_a_request_is_read_then_made_and_the_next_one_waits_for_its_slot() -> None:
    seen, engine, _ = play("a", "b")
    # 300 tokens read and a step; five steps; then 200, for the shared part is kept.
    assert seen == [
        ("first", "a", 32),
        ("end", "a", 40),
        ("first", "b", 62),
        ("end", "b", 70),
    ]
    assert engine.tokens_read == 500
    assert engine.busy_ms == pytest.approx(70)


def test_a_full_queue_takes_nothing_more() -> None:
    names = [f"r{number}" for number in range(MAX_QUEUED + 2)]
    seen, _, taken = play(*names)
    assert taken == [True] * (MAX_QUEUED + 1) + [False]
    assert [name for what, name, _ in seen if what == "end"] == names[:-1]
