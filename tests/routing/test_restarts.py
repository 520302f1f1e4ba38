"""Attempts at upstreams that have started again."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.routing.restarts import Restarts

EARLIER = Incarnation("i", 1)
LATER = Incarnation("i", 2)


def test_only_attempts_at_the_start_that_is_over_end() -> None:
    restarts = Restarts()
    ended: list[str] = []
    with (
        restarts.watch(EARLIER, lambda: ended.append("first")),
        restarts.watch(EARLIER, lambda: ended.append("second")),
        restarts.watch(LATER, lambda: ended.append("later")),
    ):
        assert restarts.end_attempts([Incarnation("other", 1)]) == 0
        assert restarts.end_attempts([EARLIER]) == 2
    assert ended == ["first", "second"]


def test_nothing_is_kept_of_attempts_that_have_ended() -> None:
    restarts = Restarts()
    with restarts.watch(EARLIER, lambda: None):
        pass
    assert restarts.end_attempts([EARLIER]) == 0
    assert repr(restarts) == "Restarts(incarnations=0)"


def test_a_later_start_of_the_same_upstream_replaces_an_earlier_one() -> None:
    assert LATER.replaces(EARLIER)
    assert not EARLIER.replaces(LATER)
    assert not LATER.replaces(LATER)
    assert not Incarnation("other", 3).replaces(EARLIER)
    assert (str(LATER), str(Incarnation("i"))) == ("i/2", "i")
    assert LATER.digest() != EARLIER.digest()
    assert LATER.digest() < 2**64
