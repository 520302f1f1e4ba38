"""Whether an attempt that ends counts as ended early."""

from __future__ import annotations

import random

import pytest

from leadseam.clock import ManualClock
from leadseam.routing.balance import Balancer
from leadseam.routing.flight import Flight
from leadseam.routing.load import Load
from leadseam.routing.placement import Placement
from tests.routing.samples import make_request, make_upstream


def make_flight(clock: ManualClock, *parts: str) -> Flight:
    """Return an attempt that is sent now, with prompt parts or without a prompt."""
    placement = Placement(make_upstream(1), Load(requests=1), unread=0)
    balancer = Balancer(random.Random(1))
    balancer.begin(placement)
    return Flight(placement, make_request(*parts), balancer, clock, lambda: None)


@pytest.mark.parametrize(
    ("parts", "age", "early"),
    [
        ((), 200, True),
        ((), 201, False),
        (("system",), 2_000, True),
        (("system",), 2_001, False),
    ],
)
def test_an_end_is_early_if_the_request_may_have_just_started(
    parts: tuple[str, ...], age: int, early: bool
) -> None:
    """A prompt may wait in its engine's queue, so its limit is longer."""
    clock = ManualClock(5_000)
    flight = make_flight(clock, *parts)
    clock.advance(age)
    assert flight.ended_early() is early


def test_an_attempt_with_an_answer_does_not_end_early() -> None:
    clock = ManualClock(5_000)
    flight = make_flight(clock, "system")
    flight.first_byte()
    assert not flight.ended_early()
