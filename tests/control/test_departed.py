"""Departed upstreams in the log and in snapshots of this and the previous version."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any, cast

import cbor2

from leadseam.clock import ManualClock
from leadseam.control.configuration import Configuration
from leadseam.control.service import Accepted, ControlService, Unavailable
from leadseam.control.state import Command, ControlState, Leave
from leadseam.feed.server import FeedServer
from leadseam.incarnation import Incarnation
from leadseam.membership.registry import Registry
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.wire.codec import decode, encode
from tests.routing.samples import make_upstream

EARLIER = Incarnation("i-1", 1_000)
LATER = Incarnation("i-1", 2_000)


def test_leaving_is_kept_in_a_snapshot() -> None:
    state = ControlState()
    state.apply(Leave("i-1", start=1_000))
    again = ControlState()
    again.restore(state.save())
    assert EARLIER in again.departed
    assert LATER not in again.departed


def test_logs_and_snapshots_without_starts_are_read() -> None:
    # Formats of the previous version: tag, id and time; and ids in the fifth field.
    leave = decode(cbor2.dumps([5, "i-1", 7]), cast("type[Command]", Leave))
    assert leave == Leave("i-1", at=7)
    configuration = cbor2.loads(encode(Configuration()))
    state = ControlState()
    state.restore(cbor2.dumps([configuration, [], [], [], ["i-1", "i-2"]]))
    assert tuple(state.departed) == (Incarnation("i-1"), Incarnation("i-2"))
    assert EARLIER not in state.departed


class Box:
    """A control box that applies commands immediately."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.voters = 3
        metrics = ControlMetrics(Metrics())
        clock = ManualClock()
        self.feed = FeedServer(
            cast("Any", self), metrics, registry=Registry(1_000), clock=clock
        )
        self.service = ControlService(
            cast("Any", self), self.feed, clock, metrics, min_voters=3
        )

    async def submit(self, command: Command) -> object:
        """Apply a command."""
        return self.state.apply(command)


async def test_a_leave_without_a_start_applies_to_the_registered_one() -> None:
    box = Box()
    box.feed.register(make_upstream(1, start=2_000))
    assert await box.service.leave_without_start("i-1") == Accepted()
    assert tuple(box.state.departed) == (LATER,)
    # Upstreams state their starts here, and this one is registered elsewhere.
    assert isinstance(await box.service.leave_without_start("i-2"), Unavailable)
    assert len(box.state.departed) == 1


async def test_without_any_starts_an_id_leaves_permanently() -> None:
    box = Box()
    box.feed.register(make_upstream(1))
    assert await box.service.leave_without_start("i-9") == Accepted()
    assert tuple(box.state.departed) == (Incarnation("i-9"),)


def test_upstreams_of_a_pool_that_nobody_named_are_handed_on_once_it_is() -> None:
    box = Box()
    sent: list[object] = []
    box.feed._broadcast = sent.append  # type: ignore[assignment]
    row = make_upstream(1)
    assert box.feed.accepts(row)
    box.feed.register(row)
    assert sent == []
    pools = {"p": cast("Any", SimpleNamespace())}
    box.state.configuration = cast("Any", SimpleNamespace(version=1, pools=pools))
    box.feed._push_newly_configured()
    (message,) = sent
    assert cast("Any", message).rows == (row,)
    assert not box.feed.accepts(make_upstream(2, pool="q"))
    # A registered upstream is kept when its pool is removed.
    pools.clear()
    assert box.feed.accepts(row)
