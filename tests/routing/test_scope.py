"""Regions to which a request is restricted."""

from __future__ import annotations

from leadseam.routing.scope import allowed_regions


def test_regions_of_route_and_account_are_intersected() -> None:
    assert allowed_regions((), ()) is None
    assert allowed_regions(("east",), ()) == frozenset({"east"})
    assert allowed_regions((), ("east", "west")) == frozenset({"east", "west"})
    assert allowed_regions(("east", "north"), ("east", "west")) == frozenset({"east"})
    assert allowed_regions(("north",), ("west",)) == frozenset()
