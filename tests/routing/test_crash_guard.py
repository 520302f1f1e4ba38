"""Evidence that an entry collects, with fakes of the feed and of upstreams."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.clock import ManualClock
from leadseam.crashes.evidence import AnswerProgress
from leadseam.membership.view import UpstreamView
from leadseam.outcome import Reason
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.attempt import Broken, Whole
from leadseam.routing.crash_guard import PROBE_DELAY, CrashGuard
from leadseam.wire.crashes import Crashes, CrashRow
from tests.routing.samples import make_request, make_route, make_upstream

BROKEN = Broken(Reason.UPSTREAM_BROKEN)


class Entry:
    """The crash guard of an entry with three registered upstreams."""

    def __init__(self) -> None:
        self.refused = False
        self.reported: list[Crashes] = []
        self.clock = ManualClock(10_000)
        self.feed = SimpleNamespace(
            view=UpstreamView(), fresh=True, broadcast=self.reported.append
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
        """Return whether the address of an upstream refuses connections."""
        return self.refused

    def note_broken(self, number: int) -> None:
        """Note a broken attempt at an upstream."""
        upstream = self.upstreams[number - 1]
        self.guard.note_ending(upstream, admitted(), BROKEN, early=True)


def admitted(body: bytes = b"{}") -> AdmittedRequest:
    """Return an admitted request of an account."""
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
    """An entry without any evidence."""
    return Entry()


async def test_broken_attempts_followed_by_refused_connections_convict_a_request(
    entry: Entry,
) -> None:
    entry.refused = True
    for number in (1, 2, 3):
        assert entry.guard.refusal(admitted()) is None
        entry.note_broken(number)
        await asyncio.sleep(2 * PROBE_DELAY / 1_000)
    assert entry.guard.refusal(admitted()) is Reason.CRASHES_UPSTREAMS
    assert entry.guard.refusal(admitted(b"{ }")) is None
    rows = [row for message in entry.reported for row in message.rows]
    assert [len(row.counted) for row in rows] == [1, 2, 3]


async def test_broken_attempts_alone_do_not_convict_a_request(entry: Entry) -> None:
    for number in (1, 2, 3):
        entry.note_broken(number)
    await asyncio.sleep(2 * PROBE_DELAY / 1_000)
    assert entry.guard.refusal(admitted()) is Reason.MAY_CRASH_UPSTREAMS
    entry.clock.advance(200)
    for upstream in entry.upstreams:
        whole = Whole(200, (), b"")
        entry.guard.note_ending(upstream, admitted(b"good"), whole, early=False)
    assert entry.guard.refusal(admitted()) is None
    assert entry.reported == []


async def test_a_disconnected_entry_takes_no_upstream_for_ended(entry: Entry) -> None:
    # An entry without a link to any control box forgets every upstream after 12 s. Its
    # attempts break as well, if it is disconnected from the upstreams too.
    for number in (1, 2, 3):
        entry.note_broken(number)
    entry.feed.fresh = False
    entry.feed.view.disconnected("a", entry.clock.now())
    entry.feed.view.sweep(entry.clock.advance(13_000))
    entry.guard.review()
    assert entry.reported == []
    assert entry.guard.refusal(admitted()) is not Reason.CRASHES_UPSTREAMS
    # Once it receives the registered upstreams again, those missing have ended.
    entry.feed.fresh = True
    entry.feed.view.update("a", entry.upstreams[:1], entry.clock.now())
    entry.guard.review()
    (message,) = entry.reported
    assert set(message.rows[-1].ended) == {
        upstream.incarnation for upstream in entry.upstreams[1:]
    }


async def test_a_conviction_ends_the_request_in_progress(entry: Entry) -> None:
    ended: list[str] = []
    for name, body in (("deadly", b"{}"), ("good", b"{ }")):
        exchange = SimpleNamespace(
            admitted=admitted(body),
            answer_progress=AnswerProgress.NONE,
            end_attempt=lambda name=name: ended.append(name),
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
    """A fake exchange that can be an element of a set."""

    def __init__(self, exchange: SimpleNamespace) -> None:
        self.admitted = exchange.admitted
        self.answer_progress = exchange.answer_progress
        self.end_attempt = exchange.end_attempt


def convicted_entry(request: AdmittedRequest, *, trial: bool) -> Entry:
    """Return an entry that knows of a verdict on a request."""
    entry = Entry()
    ended = tuple(upstream.incarnation for upstream in entry.upstreams)
    row = CrashRow(request.fingerprint(), "bank", len(request.body), ended, early=ended)
    trials = (row.fingerprint,) if trial else ()
    entry.guard.receive(Crashes((row,), trials))
    return entry


async def test_one_request_is_sent_once_in_spite_of_its_verdict() -> None:
    first, second = admitted(), admitted()
    entry = convicted_entry(first, trial=True)
    assert entry.guard.refusal(first) is None
    # Looked at again once an upstream has room.
    assert entry.guard.refusal(first) is None
    assert entry.guard.refusal(second) is Reason.CRASHES_UPSTREAMS
    entry.guard.note_ending(entry.upstreams[0], first, BROKEN, early=True)
    assert entry.guard.refusal(first, again=True) is Reason.CRASHES_UPSTREAMS
    assert entry.guard.refusal(first) is Reason.CRASHES_UPSTREAMS


async def test_an_answer_to_a_trial_lifts_the_verdict_everywhere() -> None:
    request = admitted()
    entry = convicted_entry(request, trial=True)
    assert entry.guard.refusal(request) is None
    entry.guard.note_ending(
        entry.upstreams[0], request, Whole(200, (), b""), early=False
    )
    assert entry.guard.refusal(admitted()) is None
    assert [row.counted for one in entry.reported for row in one.rows] == [frozenset()]


async def test_no_request_is_tried_without_a_verdict_on_it() -> None:
    request = admitted()
    entry = convicted_entry(request, trial=False)
    entry.guard.receive(Crashes((), trials=("f" * 32,)))
    assert entry.guard.refusal(request) is Reason.CRASHES_UPSTREAMS
