"""`UpstreamView`: an entry's view, merged from the reports of several replicas."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from msgspec import structs

from leadseam.incarnation import Incarnation
from leadseam.membership.view import LOST_REPLICA_TTL, UpstreamView
from leadseam.platform.heartbeat import MAX_COLD_TIME, MAX_INTEGER, MAX_START
from tests.routing.samples import make_upstream


def instances(view: UpstreamView) -> set[str]:
    """Return the ids of the upstreams that accept new requests."""
    return {row.instance for row in view.pool("p")}


def test_one_replica_that_holds_an_upstream_is_enough() -> None:
    view = UpstreamView()
    view.update("a", [make_upstream(1)], 0)
    view.update("b", [make_upstream(1)], 0)
    view.expired("a", [Incarnation("i-1")])
    assert instances(view) == {"i-1"}
    view.expired("b", [Incarnation("i-1")])
    assert instances(view) == set()


def test_a_lost_replicas_upstreams_are_kept_for_a_while() -> None:
    view = UpstreamView()
    view.update("a", [make_upstream(1)], 0)
    view.disconnected("a", 100)
    view.sweep(100 + LOST_REPLICA_TTL - 1)
    assert instances(view) == {"i-1"}
    view.sweep(100 + LOST_REPLICA_TTL)
    assert instances(view) == set()


def test_a_replica_that_returns_empty_removes_nothing_at_once() -> None:
    view = UpstreamView()
    view.update("a", [make_upstream(1)], 0)
    view.connected("a", 0)
    view.update("a", [], 0)
    assert instances(view) == {"i-1"}
    view.update("a", [make_upstream(1, sequence=2)], 0)
    view.sweep(10 * LOST_REPLICA_TTL)
    assert instances(view) == {"i-1"}


def test_leaving_is_final_for_an_incarnation() -> None:
    view = UpstreamView()
    view.update("a", [make_upstream(1), make_upstream(2)], 0)
    assert view.left([Incarnation("i-1")]) == (Incarnation("i-1"),)
    assert view.left([Incarnation("i-1")]) == ()
    view.update("b", [make_upstream(1, sequence=99)], 0)
    assert instances(view) == {"i-2"}


def test_a_reused_address_belongs_to_the_newer_incarnation() -> None:
    view = UpstreamView()
    old = make_upstream(1)
    view.update("a", [old], 0)
    successor = make_upstream(1).__class__(
        Incarnation("i-new"), "q", old.ip, old.port, "d", 4, True, 1
    )
    view.update("a", [successor], 0)
    assert instances(view) == set()
    assert [row.instance for row in view.pool("q")] == ["i-new"]


@pytest.mark.parametrize("lost", [False, True])
def test_a_start_far_in_the_future_does_not_outlast_the_replica_that_lists_it(
    lost: bool,
) -> None:
    """A spoilt heartbeat, or a clock that was wrong at one start.

    The other replica has told of the upstream once and does not tell again.
    """
    view = UpstreamView()
    spoilt, sound = make_upstream(1, start=MAX_START), make_upstream(1, start=5)
    view.update("b", [sound], 0)
    view.update("a", [spoilt], 0)
    view.update("b", [structs.replace(sound, sequence=2, slots=9)], 0)
    assert view.pool("p") == [spoilt]
    if lost:
        view.disconnected("a", 0)
        view.sweep(LOST_REPLICA_TTL)
    else:
        view.expired("a", [spoilt.incarnation])
    assert view.pool("p") == [structs.replace(sound, sequence=2, slots=9)]
    assert view.serves(sound.incarnation)
    assert not view.serves(spoilt.incarnation)
    view.expired("b", [sound.incarnation])
    assert view.pool("p") == ()


def test_a_sequence_far_ahead_does_not_outlast_the_replica_that_lists_it() -> None:
    """With it came an address of its own and a cold time of a day."""
    view = UpstreamView()
    sound = make_upstream(1, start=5, sequence=7)
    spoilt = structs.replace(
        sound, sequence=MAX_INTEGER, port=9, cold_remaining=MAX_COLD_TIME
    )
    view.update("a", [spoilt], 0)
    view.update("b", [sound], 0)
    assert view.pool("p") == [spoilt]
    view.expired("a", [spoilt.incarnation])
    assert view.pool("p") == [sound]
    assert view.serves(sound.incarnation)
    assert view.cold_until(sound) == 0
    later = structs.replace(sound, sequence=8, slots=9)
    view.update("b", [later], 0)
    assert view.pool("p") == [later]


def test_a_start_that_has_left_does_not_return_when_a_later_one_expires() -> None:
    view = UpstreamView()
    earlier, later = make_upstream(1, start=5), make_upstream(1, start=6)
    view.update("b", [earlier], 0)
    view.update("a", [later], 0)
    view.left([earlier.incarnation])
    view.expired("a", [later.incarnation])
    assert view.pool("p") == ()


def test_a_heartbeat_that_is_sent_again_does_not_prolong_the_cold_time() -> None:
    view = UpstreamView()
    row = structs.replace(make_upstream(1), cold_remaining=500)
    view.update("a", [row], 0)
    view.update("a", [row], 400)
    view.update("b", [row], 400)
    assert view.cold_until(row) == 500


def test_a_departure_far_in_the_future_shuts_out_all_starts_of_its_id_only() -> None:
    view = UpstreamView()
    view.left([Incarnation("i-1", MAX_START)])
    view.update("a", [make_upstream(1, start=5), make_upstream(2, start=5)], 0)
    assert instances(view) == {"i-2"}


def test_evacuations_of_a_revision_that_is_not_higher_have_no_effect() -> None:
    view = UpstreamView()
    assert not view.evacuate(-1, ["d"], 0)
    assert not view.evacuate(0, ["d"], 0)
    assert view.evacuate(2**63, ["d"], 0)
    assert not view.evacuate(2**63, [], 0)
    assert not view.evacuate(7, [], 0)
    assert view.evacuated == {"d"}
    assert view.evacuate(2**64, [], 0)
    assert view.evacuated == frozenset()


class ViewMachine(RuleBasedStateMachine):
    """Applies random reports and checks two properties.

    An incarnation that left never returns, and an upstream that a replica lists stays.
    """

    def __init__(self) -> None:
        super().__init__()
        self.view = UpstreamView()
        self.now = 0
        self.left: set[str] = set()
        self.held: dict[str, set[str]] = {"a": set(), "b": set()}

    @rule(replica=st.sampled_from("ab"), number=st.integers(1, 4))
    def report(self, replica: str, number: int) -> None:
        self.view.update(replica, [make_upstream(number, sequence=self.now)], 0)
        self.held[replica].add(f"i-{number}")

    @rule(replica=st.sampled_from("ab"), number=st.integers(1, 4))
    def expire(self, replica: str, number: int) -> None:
        self.view.expired(replica, [Incarnation(f"i-{number}")])
        self.held[replica].discard(f"i-{number}")

    @rule(replica=st.sampled_from("ab"))
    def lose(self, replica: str) -> None:
        self.view.disconnected(replica, self.now)
        self.held[replica].clear()

    @rule(number=st.integers(1, 4))
    def leave(self, number: int) -> None:
        self.view.left([Incarnation(f"i-{number}")])
        self.left.add(f"i-{number}")

    @rule(step=st.integers(1, 2 * LOST_REPLICA_TTL))
    def wait(self, step: int) -> None:
        self.now += step
        self.view.sweep(self.now)

    @invariant()
    def what_left_is_out_and_what_is_held_is_in(self) -> None:
        seen = instances(self.view)
        assert not seen & self.left
        assert (self.held["a"] | self.held["b"]) - self.left <= seen


TestViewMachine = ViewMachine.TestCase
TestViewMachine.settings = settings(derandomize=True, max_examples=60, deadline=None)
