"""What a replica reports of requests that crash upstreams, and what it writes."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from leadseam.clock import ManualClock
from leadseam.control.raft_types import Role
from leadseam.control.state import ControlState, CrashesRecorded, RecordCrashes
from leadseam.crashes.table import SUSPECT_TTL
from leadseam.crashes.trials import TRIAL_PAUSE
from leadseam.feed.crash_server import VERDICT_LIFETIME, CrashServer
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.wire.codec import decode_frame, encode_frame
from leadseam.wire.crashes import Crashes
from tests.crashes.samples import DEADLY, GOOD, make_row

if TYPE_CHECKING:
    from leadseam.control.state import Command


class Box:
    """A replica that commits at once while it has a quorum."""

    def __init__(self) -> None:
        self.state = ControlState()
        self.raft = SimpleNamespace(role=Role.LEADER)
        self.quorum = True
        self.written: list[Command] = []

    async def submit(self, command: Command) -> Any:
        """Apply a command."""
        if not self.quorum:
            return None
        self.written.append(command)
        return self.state.apply(command)


class Fixture:
    """A crash server, and the messages that it has sent."""

    def __init__(self) -> None:
        self.box = Box()
        self.clock = ManualClock(0)
        self.sent: list[Crashes] = []
        self.tried: list[Crashes] = []
        self.server = CrashServer(
            cast("Any", self.box),
            self.clock,
            ControlMetrics(Metrics()),
            self.sent.append,
            self.tried.append,
        )

    async def settle(self) -> None:
        """Let the server write its verdicts."""
        task = asyncio.create_task(self.server.run())
        for _ in range(10):
            await asyncio.sleep(0)
        task.cancel()


def test_requests_are_reported_from_the_second_ended_upstream_on() -> None:
    one = Fixture()
    one.server.receive(Crashes((make_row(1),)))
    assert one.sent == []
    assert one.server.greeting() is None
    one.server.receive(Crashes((make_row(2),)))
    assert one.sent == [Crashes((make_row(1, 2),))]
    assert one.server.greeting() == Crashes((make_row(1, 2),))


async def test_a_verdict_is_reported_at_once_and_written_once() -> None:
    one = Fixture()
    one.server.receive(Crashes((make_row(1, 2, 3), make_row(1, suspect=GOOD))))
    assert one.sent == [Crashes((make_row(1, 2, 3),))]
    await one.settle()
    one.server.receive(Crashes((make_row(3),)))
    await one.settle()
    assert one.box.written == [RecordCrashes((make_row(1, 2, 3),))]


async def test_reporting_needs_no_quorum() -> None:
    one = Fixture()
    one.box.quorum = False
    one.server.receive(Crashes((make_row(1, 2, 3),)))
    await one.settle()
    assert one.sent and not one.box.written
    one.box.quorum = True
    one.server._wake.set()
    await one.settle()
    assert one.box.written == [RecordCrashes((make_row(1, 2, 3),))]


def test_committed_verdicts_are_reported_once() -> None:
    one = Fixture()
    assert one.box.state.apply(RecordCrashes((make_row(1, 2, 3),))) == CrashesRecorded(
        1
    )
    one.server.on_applied()
    one.server.on_applied()
    assert one.sent == [Crashes((make_row(1, 2, 3),))]


def test_a_restarted_replica_sends_committed_verdicts_to_new_subscribers() -> None:
    one = Fixture()
    one.box.state.apply(RecordCrashes((make_row(1, 2, 3),)))
    saved = one.box.state.save()
    other = Fixture()
    other.box.state.restore(saved)
    assert other.server.greeting() == Crashes((make_row(1, 2, 3),))
    assert other.server.verdicts() == (make_row(1, 2, 3),)


async def test_a_lifted_verdict_is_void_everywhere() -> None:
    one = Fixture()
    one.server.receive(Crashes((make_row(1, 2, 3),)))
    await one.settle()
    assert await one.server.lift(DEADLY.fingerprint)
    lifted = make_row(1, 2, 3, void=(1, 2, 3))
    assert one.sent[-1] == Crashes((lifted,))
    assert one.server.verdicts() == ()
    assert not one.box.state.crashes.convicts(DEADLY.fingerprint)
    # An entry that was not notified of it yet repeats its report.
    one.server.receive(Crashes((make_row(1, 2, 3),)))
    assert one.server.verdicts() == ()
    assert await one.server.lift("unknown")


def test_old_suspects_are_dropped() -> None:
    one = Fixture()
    one.server.receive(Crashes((make_row(1),)))
    one.clock.advance(SUSPECT_TTL + 1)
    one.server.expire()
    one.server.receive(Crashes((make_row(2),)))
    assert one.sent == []


def test_rows_survive_encoding() -> None:
    message = Crashes((make_row(1, 2, void=(1,)),))
    assert decode_frame(encode_frame([message])) == (message,)


async def test_the_leader_lifts_an_old_verdict() -> None:
    one = Fixture()
    one.box.raft.role = Role.FOLLOWER
    one.server.receive(Crashes((make_row(1, 2, 3),)))
    one.server.expire()
    one.clock.advance(VERDICT_LIFETIME + 1)
    one.server.expire()
    assert one.server.verdicts() == (make_row(1, 2, 3),)
    one.box.raft.role = Role.LEADER
    one.server.expire()
    await asyncio.sleep(0)
    assert one.server.verdicts() == ()
    assert not one.box.state.crashes.convicts(DEADLY.fingerprint)


def test_the_leader_lets_one_entry_try_a_verdict_with_pauses_that_double() -> None:
    one = Fixture()
    one.server.receive(Crashes((make_row(1, 2, 3),)))
    tried_at = []
    for minute in range(60):
        one.server.expire()
        if one.tried:
            assert one.tried == [
                Crashes((make_row(1, 2, 3),), trials=(DEADLY.fingerprint,))
            ]
            one.tried.clear()
            tried_at.append(minute * 60_000)
        one.clock.advance(60_000)
    assert tried_at == [TRIAL_PAUSE, 3 * TRIAL_PAUSE, 7 * TRIAL_PAUSE]


def test_a_follower_lets_nobody_try_a_verdict() -> None:
    one = Fixture()
    one.box.raft.role = Role.FOLLOWER
    one.server.receive(Crashes((make_row(1, 2, 3),)))
    one.server.expire()
    one.clock.advance(2 * TRIAL_PAUSE)
    one.server.expire()
    assert one.tried == []


def test_a_trial_survives_encoding() -> None:
    message = Crashes((make_row(1, 2),), trials=("part:a",))
    assert decode_frame(encode_frame([message])) == (message,)


def test_verdicts_on_what_one_request_holds_are_tried_in_turn_and_wait_together() -> (
    None
):
    one = Fixture()
    rows = (make_row(1, 2, 3), make_row(1, 2, 3, suspect=GOOD))
    one.server.receive(Crashes(rows))
    one.server.expire()
    one.clock.advance(TRIAL_PAUSE)
    one.server.expire()
    one.server.expire()
    assert len(one.tried) == 1
    # The upstream of the trial ends.
    one.server.receive(
        Crashes((make_row(1, 2, 3, 4), make_row(1, 2, 3, 4, suspect=GOOD)))
    )
    one.server.expire()
    for _ in range(7):
        one.clock.advance(TRIAL_PAUSE // 4)
        one.server.expire()
    assert len(one.tried) == 1
    one.clock.advance(TRIAL_PAUSE // 4)
    one.server.expire()
    assert len(one.tried) == 2
