"""Fixtures with a fleet of real processes, and the handling of known failures."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import settings

from tests.known_red import read_known_red
from tools.fleet import Fleet

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

settings.register_profile("ci", derandomize=True, deadline=None, database=None)
settings.load_profile("ci")

MODEL = "rates"


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests that are known to fail as strict xfail.

    An entry without parameters stands for all variants of a test.
    """
    known = {entry.test: entry for entry in read_known_red()}
    for item in items:
        name = item.nodeid.partition("[")[0]
        if entry := known.get(item.nodeid) or known.get(name):
            item.add_marker(pytest.mark.xfail(strict=True, reason=str(entry)))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of tests that are known to fail."""
    for entry in read_known_red():
        terminalreporter.write_line(f"known red: {entry}")


@pytest.fixture
async def fleet(tmp_path: Path) -> AsyncIterator[Fleet]:
    """An empty fleet whose processes are ended after the test."""
    fleet = Fleet(tmp_path)
    try:
        yield fleet
    finally:
        await fleet.close()


@pytest.fixture
async def small_fleet(fleet: Fleet) -> Fleet:
    """A running fleet: 3 replicas, 1 entry, 1 engine, 1 service and 1 account."""
    fleet.add_control()
    fleet.add_pool("rates-1", model=MODEL)
    fleet.add_pool("slips")
    fleet.add_upstream("engine-1", pool="rates-1", kind="engine")
    fleet.add_upstream("slips-1", pool="slips", kind="service")
    fleet.add_account("tellers", models=(MODEL,), services=("slips",))
    fleet.add_entry("entry-1")
    await fleet.start_all()
    return fleet
