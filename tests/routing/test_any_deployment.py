"""On deployments of any size, idle engines admit every request."""

from __future__ import annotations

import random
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.control.routes import EngineProfile
from leadseam.routing.admission import Admission, Waiter
from leadseam.routing.balance import MEMORY_PART, Balancer, expected_memory
from leadseam.routing.dialect import PromptPart
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing
from tests.routing.samples import make_request, make_upstream

GRANTED = (Standing.WITHIN, Standing.EVEN, Standing.AHEAD)


@settings(derandomize=True, database=None, max_examples=200, deadline=None)
@given(
    engines=st.integers(1, 40),
    slots=st.integers(1, 256),
    millis_per_1k=st.lists(st.integers(2, 200), min_size=40, max_size=40),
    objective=st.integers(50, 5_000),
    shared=st.integers(0, 20_000),
    own=st.integers(1, 200_000),
    standing=st.sampled_from(GRANTED),
    seed=st.integers(0, 100),
)
def test_nothing_waits_or_is_refused_while_engines_are_idle(
    engines: int,
    slots: int,
    millis_per_1k: list[int],
    objective: int,
    shared: int,
    own: int,
    standing: Standing,
    seed: int,
) -> None:
    rows = [make_upstream(number) for number in range(1, engines + 1)]
    balancer = Balancer(random.Random(seed))
    for row, millis in zip(rows, millis_per_1k, strict=False):
        for _ in range(50):
            balancer.estimates.add_measurement(row, 10_000, 45 + 10 * millis)
    parts = (PromptPart("shared", shared), PromptPart("own", own))
    req = replace(make_request(), parts=parts, tokens_in=shared + own)
    profile = EngineProfile(
        slots=slots, memory_tokens=round(expected_memory(req) / MEMORY_PART) + 1
    )
    waiter = Waiter(
        req=req,
        account="a",
        scope=Scope("p"),
        profile=profile,
        objective=objective,
        arrived=0,
        tried=set(),
        wake=lambda: None,
    )
    admission = Admission(
        balancer=balancer,
        candidates=lambda pool: rows,
        standing=lambda account, now: standing,
        recent_service=lambda account, now: 0,
    )
    admission.enter(waiter, 0)
    # Independent of prompt length, engine speed and latency objective.
    assert waiter.placement is not None
