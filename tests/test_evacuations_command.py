"""Table of failure domains printed by `leadseam-evacuations`."""

from __future__ import annotations

from leadseam.cli.evacuations import render
from leadseam.control.evacuations import EvacuationRow
from leadseam.feed.evacuation_routes import to_json
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.wire.feed import LoadReport, LoadRow


def test_the_table_shows_state_age_and_requests_left() -> None:
    rows = [
        to_json(EvacuationRow("north", True, 1, 1, at=1_000_000), 12),
        to_json(EvacuationRow("south", False, 2, 3, at=990_000), None),
    ]
    assert render(rows, now=1_030.0).splitlines() == [
        "domain                    state         for s  requests",
        "north                     evacuated        30  12",
        "south                     in use           40  -",
    ]


def test_requests_left_are_known_where_entries_report() -> None:
    sums = LoadAggregator()
    assert sums.requests_at({1}) is None
    sums.update(1, LoadReport(1, (LoadRow(1, 3, 0, 0), LoadRow(2, 9, 0, 0)), ()), 0)
    sums.update(2, LoadReport(1, (LoadRow(1, 4, 0, 0),), ()), 0)
    assert sums.requests_at({1}) == 7
