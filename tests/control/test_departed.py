"""Upstreams that have left, in the log and in snapshots of this version and before."""

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
    # As the version before wrote them: tag, id, time; and ids in the fifth field.
    leave = decode(cbor2.dumps([5, "i-1", 7]), cast("type[Command]", Leave))
    assert leave == Leave("i-1", at=7)
    configuration = cbor2.loads(encode(Configuration()))
    state = ControlState()
    state.restore(cbor2.dumps([configuration, [], [], [], ["i-1", "i-2"]]))
    assert tuple(state.departed) == (Incarnation("i-1"), Incarnation("i-2"))
    assert EARLIER not in state.departed


class Box:
    """A control box whose commands are applied at once."""

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


async def test_a_word_of_leaving_without_a_start_is_of_the_one_that_is_heard() -> None:
    box = Box()
    box.feed.register(make_upstream(1, start=2_000))
    assert await box.service.leave_without_start("i-1") == Accepted()
    assert tuple(box.state.departed) == (LATER,)
    # Starts are stated here, and this one is heard elsewhere.
    assert isinstance(await box.service.leave_without_start("i-2"), Unavailable)
    assert len(box.state.departed) == 1


async def test_where_no_starts_are_stated_an_id_leaves_for_good() -> None:
    box = Box()
    box.feed.register(make_upstream(1))
    assert await box.service.leave_without_start("i-9") == Accepted()
    assert tuple(box.state.departed) == (Incarnation("i-9"),)


def test_upstreams_of_a_pool_that_nobody_named_are_handed_on_once_it_is() -> None:
    box = Box()
    told: list[object] = []
    box.feed._broadcast = told.append  # type: ignore[assignment]
    row = make_upstream(1)
    assert box.feed.accepts(row)
    box.feed.register(row)
    assert told == []
    pools = {"p": cast("Any", SimpleNamespace())}
    box.state.configuration = cast("Any", SimpleNamespace(version=1, pools=pools))
    box.feed._push_newly_configured()
    (message,) = told
    assert cast("Any", message).rows == (row,)
    assert not box.feed.accepts(make_upstream(2, pool="q"))
    # One that is heard stays an upstream when its pool goes.
    pools.clear()
    assert box.feed.accepts(row)
