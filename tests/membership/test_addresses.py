"""Incarnations that claim one address, some by a heartbeat that came late."""

from __future__ import annotations

import msgspec

from leadseam.incarnation import Incarnation
from leadseam.membership.addresses import PROOF, AddressTable
from leadseam.membership.view import UpstreamView
from tests.routing.samples import make_upstream

SERVING = make_upstream(1)
STALE = msgspec.structs.replace(
    SERVING, incarnation=Incarnation("i-stale"), sequence=40
)


def instances(view: UpstreamView) -> set[str]:
    """Return the incarnations that take new work."""
    return {row.instance for row in view.pool("p")}


def serving_view() -> UpstreamView:
    """Return a view with an upstream that answered at 1,000 ms."""
    view = UpstreamView()
    view.update("a", [SERVING], 0)
    view.answered(Incarnation("i-1"), 1_000)
    return view


def test_a_late_heartbeat_takes_no_address_from_one_that_answers() -> None:
    view = serving_view()
    view.update("b", [STALE], 1_000 + PROOF)
    assert instances(view) == {"i-1"}
    # Nor does it later, when nothing was sent there for long.
    view.update("b", [msgspec.structs.replace(STALE, sequence=41)], 60_000)
    assert instances(view) == {"i-1"}
    view.expired("b", [Incarnation("i-stale")])
    assert instances(view) == {"i-1"}


def test_a_late_word_of_leaving_concerns_its_own_incarnation_only() -> None:
    view = serving_view()
    view.update("b", [msgspec.structs.replace(STALE, ready=False)], 1_200)
    view.left([Incarnation("i-stale")])
    assert instances(view) == {"i-1"}
    view.update("b", [STALE], 90_000)
    assert instances(view) == {"i-1"}


def test_a_successor_has_the_address_at_once_if_nothing_was_answered_of_late() -> None:
    view = serving_view()
    view.update("a", [STALE], 1_000 + PROOF + 1)
    assert instances(view) == {"i-stale"}


def test_an_answer_for_another_gives_the_address_back() -> None:
    view = UpstreamView()
    view.update("a", [SERVING], 0)
    view.update("b", [STALE], 0)
    assert instances(view) == {"i-stale"}
    assert view.misdirected(Incarnation("i-stale"))
    assert instances(view) == {"i-1"}
    # Several requests were under way; only the first changes anything.
    assert not view.misdirected(Incarnation("i-stale"))
    assert instances(view) == {"i-1"}
    # If that one is gone after all, it is turned back.
    assert view.misdirected(Incarnation("i-1"))
    assert instances(view) == {"i-stale"}


def test_one_alone_keeps_its_address_whatever_is_said() -> None:
    view = serving_view()
    assert not view.misdirected(Incarnation("i-1"))
    assert not view.misdirected(Incarnation("i-unknown"))
    view.answered(Incarnation("i-unknown"), 0)
    assert instances(view) == {"i-1"}


def test_who_is_left_inherits_the_address_and_nothing_is_kept_of_the_others() -> None:
    book = AddressTable()
    book.claim(SERVING, 0)
    book.answered(Incarnation("i-1"), 0)
    book.claim(STALE, 10)
    assert book.holds(SERVING)
    assert not book.holds(STALE)
    book.drop(SERVING)
    assert book.holds(STALE)
    book.drop(SERVING)
    book.drop(STALE)
    assert not book.holds(STALE)
    assert repr(book) == "AddressTable(addresses=0)"
