"""The room that an entry reports of itself.

Guards against attracting callers to an entry that is not ready, or whose event loop is
late at the very moment of the report.
"""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.clock import ManualClock
from leadseam.platform.entry_node import EntryNode
from leadseam.platform.settings import NodeSettings
from leadseam.routing.entry_room import EntryRooms
from leadseam.wire.feed import EntryRoom

SETTINGS = "node=entry-a-1\nip=127.0.0.1\nzone=a\ninternalPorts=7400,7415\n"


def make_node(clock: ManualClock, *, enabled: bool = True) -> EntryNode:
    """Return an entry that has not started and whose gateway has only rooms."""
    settings = NodeSettings.parse(SETTINGS, "f")
    node = EntryNode(settings, Path("f"), clock=clock)
    rooms = EntryRooms("a", enabled=enabled)
    node._gateway = cast("Any", SimpleNamespace(rooms=rooms))
    return node


@pytest.mark.parametrize(
    ("reason", "late", "has_room"),
    [("", 10, True), ("", 11, False), ("no confirmed configuration", 0, False)],
)
async def test_only_a_ready_entry_that_is_not_late_has_room(
    monkeypatch: pytest.MonkeyPatch, reason: str, late: int, has_room: bool
) -> None:
    clock = ManualClock(1_000)
    node = make_node(clock)
    monkeypatch.setattr(node, "_readiness", lambda: reason)
    clock.advance(20 + late)
    assert node._own_room() == EntryRoom("a", has_room)


async def test_an_entry_that_does_not_know_its_limits_measures_no_room(
    caplog: pytest.LogCaptureFixture,
) -> None:
    clock = ManualClock(1_000)
    node = make_node(clock, enabled=False)
    clock.advance(1_000)
    with caplog.at_level("INFO"):
        assert node._own_room() is None
    assert not caplog.records
