"""Evacuated failure domains, cold upstreams and regions in an entry's view."""

from __future__ import annotations

import msgspec

from leadseam.membership.registry import COLD_TOLERANCE, Registry
from leadseam.membership.view import UpstreamView
from leadseam.wire.feed import Registration
from tests.routing.samples import make_upstream


def upstream(number: int, domain: str, *, cold: int = 0, seq: int = 1) -> Registration:
    """Return an upstream of a failure domain."""
    row = make_upstream(number, sequence=seq)
    return msgspec.structs.replace(row, failure_domain=domain, cold_remaining=cold)


def names(view: UpstreamView, regions: frozenset[str] | None = None) -> set[str]:
    """Return the upstreams that take new work."""
    return {row.instance for row in view.pool("p", regions)}


def make_view() -> UpstreamView:
    """Return a view of three domains, two of them in the region `east`."""
    regions = {"north": "east", "south": "east", "west": "west"}
    view = UpstreamView(regions, heartbeat_interval=1_200)
    rows = [upstream(n, d) for n, d in enumerate(regions, start=1)]
    view.update("a", rows, 0)
    return view


def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back() -> None:
    view = make_view()
    assert view.evacuate(1, ("north",), 0)
    assert names(view) == {"i-2", "i-3"}
    assert view.available_fraction(["p"]) == 2 / 3
    # What registers there later gets nothing either.
    view.update("b", [upstream(9, "north")], 0)
    assert names(view) == {"i-2", "i-3"}
    assert view.evacuate(2, (), 0)
    assert names(view) == {"i-1", "i-2", "i-3", "i-9"}
    assert view.available_fraction(["p"]) == 1


def test_an_older_revision_changes_nothing() -> None:
    # A replica that lags greets with what it knows.
    view = make_view()
    view.evacuate(2, ("north",), 0)
    assert not view.evacuate(1, (), 0)
    assert not view.evacuate(2, ("north",), 0)
    assert names(view) == {"i-2", "i-3"}


def test_all_domains_may_be_evacuated() -> None:
    view = make_view()
    view.evacuate(1, ("north", "south", "west"), 0)
    assert names(view) == set()
    assert view.available_fraction(["p"]) == 0


def test_a_domain_that_is_taken_back_counts_as_cold_for_three_heartbeats() -> None:
    view = make_view()
    view.evacuate(1, ("north",), 0)
    assert view.all_warm(0)
    view.evacuate(2, (), 10_000)
    north, south, _ = sorted(view.pool("p"), key=lambda row: row.instance)
    assert not view.all_warm(13_599)
    assert view.cold_until(north) == 13_600
    assert view.cold_until(south) == 0
    # A heartbeat of before it turned cold may come late.
    view.update("a", [upstream(1, "north", seq=2)], 11_000)
    assert view.cold_until(north) == 13_600
    assert view.all_warm(13_600)


def test_what_an_upstream_says_of_being_cold_is_believed() -> None:
    view = make_view()
    view.update("a", [upstream(1, "north", cold=3_000, seq=2)], 500)
    row = next(row for row in view.pool("p") if row.instance == "i-1")
    assert view.cold_until(row) == 3_500
    # An older row of another replica does not count.
    view.update("b", [upstream(1, "north")], 600)
    assert view.cold_until(row) == 3_500
    view.update("b", [upstream(1, "north", seq=3)], 700)
    assert view.cold_until(row) == 0


def test_entries_hear_of_an_upstream_that_turns_cold_and_of_nothing_else() -> None:
    # The time left of being cold was left out of what makes a heartbeat news.
    registry = Registry(1_200)
    assert registry.heartbeat(upstream(1, "north", cold=3_000), 0)
    assert not registry.heartbeat(upstream(1, "north", cold=1_800, seq=2), 1_200)
    assert not registry.heartbeat(
        upstream(1, "north", cold=600 + COLD_TOLERANCE, seq=3), 2_400
    )
    assert not registry.heartbeat(upstream(1, "north", seq=4), 3_600)
    assert registry.heartbeat(upstream(1, "north", cold=2_000, seq=5), 4_800)
    assert registry.heartbeat(upstream(1, "north", seq=6), 5_000)


def test_a_request_that_is_bound_to_regions_goes_nowhere_else() -> None:
    view = make_view()
    assert names(view, frozenset({"east"})) == {"i-1", "i-2"}
    assert names(view, frozenset({"west"})) == {"i-3"}
    assert names(view, frozenset()) == set()
    view.evacuate(1, ("west",), 0)
    assert names(view, frozenset({"west"})) == set()
    # A domain whose region is not known serves nobody who is bound.
    view.update("a", [upstream(4, "elsewhere")], 0)
    assert "i-4" in names(view)
    assert names(view, frozenset({"east", "west"})) == {"i-1", "i-2"}
