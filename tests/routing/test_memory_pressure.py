"""Deciding whether a pool's engines run out of memory before slots.

Guards against fetching for pools that do not need it, and against a state that flips
with each large request.
"""

from __future__ import annotations

from dataclasses import replace

from leadseam.control.routes import EngineProfile
from leadseam.routing.memory_pressure import MIN_REQUESTS, MemoryPressure
from tests.routing.samples import make_request

PROFILE = EngineProfile(slots=10, memory_tokens=10_000)


def record(pressure: MemoryPressure, tokens: int, count: int) -> None:
    """Count requests that are expected to fill so many tokens each."""
    req = replace(make_request(), tokens_in=tokens - 250, tokens_out=4_000)
    for _ in range(count):
        pressure.record("p", req)


def test_a_pool_is_judged_after_enough_requests() -> None:
    pressure = MemoryPressure()
    assert not pressure.is_memory_bound("p", PROFILE)
    record(pressure, 800, MIN_REQUESTS - 1)
    assert not pressure.is_memory_bound("p", PROFILE)
    record(pressure, 800, 1)
    assert pressure.is_memory_bound("p", PROFILE)
    assert pressure.mean_tokens("p") == 800
    assert pressure.bound_pools() == 1
    assert not pressure.is_memory_bound("other", PROFILE)


def test_the_limit_to_end_is_below_the_limit_to_begin() -> None:
    pressure = MemoryPressure()
    record(pressure, 700, MIN_REQUESTS)
    assert not pressure.is_memory_bound("p", PROFILE)
    record(pressure, 800, 5_000)
    assert pressure.is_memory_bound("p", PROFILE)
    record(pressure, 700, 5_000)
    assert pressure.is_memory_bound("p", PROFILE)
    record(pressure, 600, 5_000)
    assert not pressure.is_memory_bound("p", PROFILE)
