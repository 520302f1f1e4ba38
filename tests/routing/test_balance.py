"""Picking an upstream for a request."""

from __future__ import annotations

import random
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.control.routes import EngineProfile
from leadseam.routing.balance import Balancer, expected_memory, expected_service
from leadseam.routing.dialect import PromptPart
from leadseam.routing.engine_order import affinity_key, ranked_for, rendezvous_weight
from leadseam.routing.load import Load
from leadseam.routing.placement import Placement
from tests.routing.samples import make_request, make_upstream

ROWS = [make_upstream(number) for number in range(1, 6)]
PROFILE = EngineProfile(slots=4, memory_tokens=10_000)
CHAT = make_request("system", "subject", "own")


def make_balancer() -> Balancer:
    """Return a balancer with nothing in flight."""
    return Balancer(random.Random(1))


def test_the_last_shared_part_is_the_affinity_key() -> None:
    assert affinity_key(make_request()) is None
    assert affinity_key(make_request("own")) == "own"
    assert affinity_key(CHAT) == "subject"


def test_entries_agree_on_the_engine_of_a_shared_part() -> None:
    first = make_balancer().place(ranked_for(ROWS, CHAT), CHAT, PROFILE, 400, 0)
    second = make_balancer().place(ranked_for(ROWS[::-1], CHAT), CHAT, PROFILE, 400, 0)
    assert first is not None
    assert second is not None
    assert first.upstream == second.upstream
    # The engine is assumed to hold the shared parts; only the own part is read.
    assert first.unread == 100
    assert first.load == Load(requests=1, unread=100, memory=300 - 100 + 50)


def test_an_engine_without_a_free_slot_is_followed_by_the_next() -> None:
    balancer = make_balancer()
    chosen = []
    for _ in range(5):
        placement = balancer.place(ranked_for(ROWS, CHAT), CHAT, PROFILE, 400, 0)
        assert placement is not None
        balancer.begin(placement)
        chosen.append(placement.upstream.instance)
    assert len(set(chosen[:4])) == 1
    assert chosen[4] != chosen[0]


def test_full_engines_are_used_only_by_a_retried_request() -> None:
    balancer = make_balancer()
    for row in ROWS:
        balancer.begin(Placement(row, Load(requests=4), 0))
    assert balancer.place(ranked_for(ROWS, CHAT), CHAT, PROFILE, 400, 0) is None
    assert balancer.place_over_limits(ranked_for(ROWS, CHAT), CHAT, 0) is not None
    assert balancer.place_over_limits([], CHAT, 0) is None


def test_memory_and_unread_tokens_limit_an_engine() -> None:
    full = make_balancer()
    full.begin(Placement(ROWS[0], Load(requests=1, memory=9_200), 0))
    assert full.place(ROWS[:1], CHAT, PROFILE, 400, 0) is None
    busy = make_balancer()
    busy.begin(Placement(ROWS[0], Load(requests=1, unread=20_000), 20_000))
    assert busy.place(ROWS[:1], CHAT, PROFILE, 400, 0) is None
    assert busy.place(ROWS[:1], CHAT, PROFILE, 500, 0) is not None


def test_a_prompt_too_long_for_the_objective_goes_to_an_idle_engine() -> None:
    balancer = make_balancer()
    long_prompt = msgspec.structs.replace(PROFILE, memory_tokens=1_000_000)
    req = make_request("own")
    assert balancer.place(ROWS[:1], req, long_prompt, 1, 0) is not None


def test_reading_shared_parts_again_costs_more_than_a_short_wait() -> None:
    balancer = make_balancer()
    home = max(ROWS, key=lambda row: rendezvous_weight("subject", row))
    balancer.begin(Placement(home, Load(requests=1, unread=8_000), 8_000))
    placement = balancer.place(ranked_for(ROWS, CHAT), CHAT, PROFILE, 400, 0)
    assert placement is not None
    assert placement.upstream == home
    balancer.begin(Placement(home, Load(requests=1, unread=1_000), 9_000))
    placement = balancer.place(ranked_for(ROWS, CHAT), CHAT, PROFILE, 400, 0)
    assert placement is not None
    second = sorted(ROWS, key=lambda row: rendezvous_weight("subject", row))[-2]
    assert placement.upstream == second


def test_long_shared_parts_are_not_read_elsewhere_and_short_ones_are() -> None:
    balancer = make_balancer()
    part = PromptPart("subject", 2_000)
    req = replace(CHAT, parts=(part, PromptPart("own", 100)))
    home = max(ROWS, key=lambda row: rendezvous_weight("subject", row))
    balancer.begin(Placement(home, Load(requests=4), 0))
    assert balancer.place(ranked_for(ROWS, req), req, PROFILE, 400, 0) is None
    placement = balancer.place(ranked_for(ROWS, CHAT), CHAT, PROFILE, 400, 0)
    assert placement is not None
    assert placement.upstream != home


def test_plain_requests_go_to_the_upstream_with_the_fewest_requests_per_slot() -> None:
    balancer = make_balancer()
    for row in ROWS[:4]:
        balancer.begin(Placement(row, Load(requests=1), 0))
    placement = balancer.least_loaded(ROWS, 0)
    assert placement is not None
    assert placement.upstream == ROWS[4]
    assert balancer.least_loaded([], 0) is None


def test_service_and_memory_of_a_request() -> None:
    assert expected_service(CHAT) == 300 + 2 * 50
    assert expected_memory(CHAT) == 300 - 200 // 2 + 50
    assert expected_memory(make_request()) == 50


@settings(derandomize=True, database=None)
@given(
    loads=st.lists(
        st.tuples(st.integers(0, 5), st.integers(0, 60_000), st.integers(0, 12_000)),
        min_size=5,
        max_size=5,
    ),
    limit=st.integers(50, 680),
)
def test_leaving_out_engines_without_room_changes_no_choice(
    loads: list[tuple[int, int, int]], limit: int
) -> None:
    balancer = make_balancer()
    for row, load in zip(ROWS, loads, strict=True):
        balancer.loads.begin(row.incarnation, Load(*load))
    ranked = ranked_for(ROWS, CHAT)
    # The set is computed for the longest limit of all waiting requests.
    among = balancer.with_capacity(ROWS, 680, 0)
    every = balancer.place(ranked, CHAT, PROFILE, limit, 0)
    some = balancer.place(ranked, CHAT, PROFILE, limit, 0, among=among)
    assert some == every
