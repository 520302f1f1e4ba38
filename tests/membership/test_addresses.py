"""Incarnations that claim the same address, some by a delayed heartbeat."""

from __future__ import annotations

import msgspec

from leadseam.incarnation import Incarnation
from leadseam.membership.addresses import PROOF_TTL, AddressTable
from leadseam.membership.view import UpstreamView
from tests.routing.samples import make_upstream

ACTIVE = make_upstream(1)
STALE = msgspec.structs.replace(ACTIVE, incarnation=Incarnation("i-stale"), sequence=40)


def instances(view: UpstreamView) -> set[str]:
    """Return the ids of the upstreams that accept new requests."""
    return {row.instance for row in view.pool("p")}


def active_view() -> UpstreamView:
    """Return a view with an upstream that answered at 1,000 ms."""
    view = UpstreamView()
    view.update("a", [ACTIVE], 0)
    view.answered(Incarnation("i-1"), 1_000)
    return view


def test_a_late_heartbeat_takes_no_address_from_one_that_answers() -> None:
    view = active_view()
    view.update("b", [STALE], 1_000 + PROOF_TTL)
    assert instances(view) == {"i-1"}
    # Nor does a later one, when no request was sent there for a long time.
    view.update("b", [msgspec.structs.replace(STALE, sequence=41)], 60_000)
    assert instances(view) == {"i-1"}
    view.expired("b", [Incarnation("i-stale")])
    assert instances(view) == {"i-1"}


def test_a_late_departure_concerns_its_own_incarnation_only() -> None:
    view = active_view()
    view.update("b", [msgspec.structs.replace(STALE, ready=False)], 1_200)
    view.left([Incarnation("i-stale")])
    assert instances(view) == {"i-1"}
    view.update("b", [STALE], 90_000)
    assert instances(view) == {"i-1"}


def test_a_successor_has_the_address_at_once_without_a_recent_answer() -> None:
    view = active_view()
    view.update("a", [STALE], 1_000 + PROOF_TTL + 1)
    assert instances(view) == {"i-stale"}


def test_a_misdirected_answer_moves_the_address() -> None:
    view = UpstreamView()
    view.update("a", [ACTIVE], 0)
    view.update("b", [STALE], 0)
    assert instances(view) == {"i-stale"}
    assert view.misdirected(Incarnation("i-stale"))
    assert instances(view) == {"i-1"}
    # Several requests were in flight; only the first one has an effect.
    assert not view.misdirected(Incarnation("i-stale"))
    assert instances(view) == {"i-1"}
    # If the new holder has ended after all, the address goes back.
    assert view.misdirected(Incarnation("i-1"))
    assert instances(view) == {"i-stale"}


def test_a_sole_claimant_keeps_its_address() -> None:
    view = active_view()
    assert not view.misdirected(Incarnation("i-1"))
    assert not view.misdirected(Incarnation("i-unknown"))
    view.answered(Incarnation("i-unknown"), 0)
    assert instances(view) == {"i-1"}


def test_the_remaining_claimant_inherits_and_the_others_are_removed() -> None:
    table = AddressTable()
    table.claim(ACTIVE, 0)
    table.answered(Incarnation("i-1"), 0)
    table.claim(STALE, 10)
    assert table.holds(ACTIVE)
    assert not table.holds(STALE)
    table.drop(ACTIVE)
    assert table.holds(STALE)
    table.drop(ACTIVE)
    table.drop(STALE)
    assert not table.holds(STALE)
    assert repr(table) == "AddressTable(addresses=0)"
