"""The choice of an upstream."""

from __future__ import annotations

import random

from leadseam.routing.balance import Balancer, affinity_key
from tests.routing.samples import make_request, make_upstream

ROWS = [make_upstream(number) for number in range(1, 6)]


def test_the_part_before_the_requests_own_decides() -> None:
    assert affinity_key(make_request()) is None
    assert affinity_key(make_request("own")) == "own"
    assert affinity_key(make_request("system", "subject", "own")) == "subject"


def test_entries_agree_on_the_engine_of_a_shared_part() -> None:
    req = make_request("system", "subject", "own")
    first = Balancer(random.Random(1)).pick(ROWS, req)
    second = Balancer(random.Random(2)).pick(list(reversed(ROWS)), req)
    assert first is not None
    assert first == second


def test_a_loaded_engine_hands_over_to_the_next() -> None:
    balancer = Balancer(random.Random(1))
    req = make_request("system", "subject", "own")
    chosen = []
    for _ in range(20):
        row = balancer.pick(ROWS, req)
        assert row is not None
        balancer.begin(row.instance, req)
        chosen.append(row.instance)
    assert len(set(chosen)) > 1
    assert chosen[0] == chosen[1]
    for instance in chosen:
        balancer.end(instance, req)
    assert all(balancer.in_flight(row.instance) == 0 for row in ROWS)


def test_other_work_goes_where_least_is_in_flight() -> None:
    balancer = Balancer(random.Random(1))
    req = make_request()
    for row in ROWS[:4]:
        balancer.begin(row.instance, req)
    assert balancer.pick(ROWS, req) == ROWS[4]
    assert balancer.pick([], req) is None
