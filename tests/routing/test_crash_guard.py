"""What an entry takes for evidence, between fakes of the feed and of upstreams."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.clock import ManualClock
from leadseam.membership.view import UpstreamView
from leadseam.outcome import Reason
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.attempt import Broken, Whole
from leadseam.routing.crash_guard import LOOK_DELAY, CrashGuard
from leadseam.wire.crashes import Crashes, CrashRow
from tests.routing.samples import make_request, make_route, make_upstream

BROKEN = Broken(Reason.UPSTREAM_BROKEN)


class Entry:
    """A guard of one entry that knows three upstreams."""

    def __init__(self) -> None:
        self.refused = False
        self.told: list[Crashes] = []
        self.clock = ManualClock(10_000)
        self.feed = SimpleNamespace(
            view=UpstreamView(), fresh=True, broadcast=self.told.append
        )
        self.running: set[Any] = set()
        self.upstreams = [make_upstream(number) for number in (1, 2, 3)]
        self.feed.view.update("a", self.upstreams, 0)
        self.guard = CrashGuard(
            feed=cast("Any", self.feed),
            client=cast("Any", self),
            clock=self.clock,
            running=self.running,
        )

    async def is_refused(self, _ip: str, _port: int) -> bool:
        """Answer as an upstream's address does."""
        return self.refused

    def broke(self, number: int) -> None:
        """Note that an attempt broke at an upstream."""
        upstream = self.upstreams[number - 1]
        self.guard.note_ending(upstream, admitted(), BROKEN, early=True)


def admitted(body: bytes = b"{}") -> AdmittedRequest:
    """Return a request of an account."""
    return AdmittedRequest(
        req=make_request(),
        body=body,
        route=make_route("r", "/chat/", "p"),
        pool="p",
        account="bank",
        arrived=0,
        deadline=60_000,
    )


@pytest.fixture
def entry() -> Entry:
    """An entry that has seen nothing yet."""
    return Entry()


async def test_refused_connections_after_a_break_speak_against_it(
    entry: Entry,
) -> None:
    entry.refused = True
    for number in (1, 2, 3):
        assert entry.guard.refusal(admitted()) is None
        entry.broke(number)
        await asyncio.sleep(2 * LOOK_DELAY / 1_000)
    assert entry.guard.refusal(admitted()) is Reason.CRASHES_UPSTREAMS
    assert entry.guard.refusal(admitted(b"{ }")) is None
    rows = [row for message in entry.told for row in message.rows]
    assert [len(row.counted) for row in rows] == [1, 2, 3]


async def test_breaks_alone_only_put_it_on_trial(entry: Entry) -> None:
    for number in (1, 2, 3):
        entry.broke(number)
    await asyncio.sleep(2 * LOOK_DELAY / 1_000)
    assert entry.guard.refusal(admitted()) is Reason.MAY_CRASH_UPSTREAMS
    entry.clock.advance(200)
    for upstream in entry.upstreams:
        whole = Whole(200, (), b"")
        entry.guard.note_ending(upstream, admitted(b"good"), whole, early=False)
    assert entry.guard.refusal(admitted()) is None
    assert entry.told == []


async def test_an_entry_that_is_cut_off_takes_nobody_for_ended(entry: Entry) -> None:
    # Cut from all control boxes, it forgets every upstream after 12 s, and its attempts
    # there break as well where it is cut from them too.
    for number in (1, 2, 3):
        entry.broke(number)
    entry.feed.fresh = False
    entry.feed.view.disconnected("a", entry.clock.now())
    entry.feed.view.sweep(entry.clock.advance(13_000))
    entry.guard.review()
    assert entry.told == []
    assert entry.guard.refusal(admitted()) is not Reason.CRASHES_UPSTREAMS
    # Once it is told what is there, what is missing has ended.
    entry.feed.fresh = True
    entry.feed.view.update("a", entry.upstreams[:1], entry.clock.now())
    entry.guard.review()
    (message,) = entry.told
    assert set(message.rows[-1].ended) == {
        upstream.incarnation for upstream in entry.upstreams[1:]
    }


async def test_a_verdict_ends_what_is_under_way(entry: Entry) -> None:
    ended: list[str] = []
    for name, body in (("deadly", b"{}"), ("good", b"{ }")):
        exchange = SimpleNamespace(
            admitted=admitted(body), end_attempt=lambda name=name: ended.append(name)
        )
        entry.running.add(cast("Any", _Hashable(exchange)))
    one = admitted()
    incarnations = tuple(upstream.incarnation for upstream in entry.upstreams)
    row = CrashRow(
        one.fingerprint(), "bank", len(one.body), incarnations, early=incarnations
    )
    entry.guard.receive(Crashes((row,)))
    assert ended == ["deadly"]
    assert entry.guard.refusal(one) is Reason.CRASHES_UPSTREAMS


class _Hashable:
    """Lets a namespace stand in a set."""

    def __init__(self, exchange: SimpleNamespace) -> None:
        self.admitted = exchange.admitted
        self.end_attempt = exchange.end_attempt
