"""Admission at an entry whose event loop lags, and what the gateway logs and counts."""

from __future__ import annotations

import asyncio
import hashlib
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest

from leadseam.answer_end import AnswerEnd, Close, Framing
from leadseam.answer_head import HeadFault
from leadseam.clock import ManualClock
from leadseam.control.configuration import Account, Configuration
from leadseam.event_sequence import EventFault, SpoiltEvent
from leadseam.feed.entry_count import EntryCount
from leadseam.handover.targets import MAX_HANDED_BODY, HandOver, HandOverTargets
from leadseam.incarnation import Incarnation
from leadseam.membership.view import UpstreamView
from leadseam.outcome import NotRun, Reason
from leadseam.routing.attempt import Broken, Declined, Whole
from leadseam.routing.busy import SHORTEST_PAUSE
from leadseam.routing.dialect import Sender
from leadseam.routing.entry_room import EntryRooms
from leadseam.routing.gateway import (
    EXCESS_LAG,
    MAX_LAG,
    MAX_LAG_WITHIN_SHARE,
    Gateway,
)
from leadseam.routing.retry_budget import RetryLimits
from leadseam.routing.router import Router
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing
from leadseam.runtime.logs import MAX_LINES_PER_SECOND
from leadseam.runtime.metrics import Metrics, RoutingMetrics
from leadseam.wire.feed import DomainRoom, EntryRoom, LoadSums, RoomOffer, UsageRow
from tests.routing.samples import (
    make_admitted,
    make_head,
    make_request,
    make_route,
    make_upstream,
)

if TYPE_CHECKING:
    from aiohttp import web

ACCOUNTS = {
    name: Account(name, key_hashes=(hashlib.sha256(name.encode()).hexdigest(),))
    for name in ("large", "small")
}


class Dialect:
    """Reads the sender of a request, and counts attempts to read the rest."""

    def __init__(self) -> None:
        self.read = 0

    def read_sender(self, http: web.BaseRequest) -> Sender:
        """Return the sender that the test named."""
        return Sender("r-1", str(http))

    def read_request(self, _: web.BaseRequest) -> None:
        """Count the read, and report the request as malformed."""
        self.read += 1

    def retry_after(self, pause: int) -> tuple[tuple[str, str], ...]:
        """Return the pause unchanged in a header."""
        return (("Pause", str(pause)),)


class Entry:
    """A gateway with fakes of its dependencies."""

    def __init__(self, metrics: Metrics | None = None) -> None:
        feed = SimpleNamespace(
            configuration=Configuration(accounts=ACCOUNTS),
            confirmed=True,
            version=1,
            age=0,
            view=UpstreamView(),
            entries=EntryCount(),
        )
        self.feed = feed
        self.metrics = metrics or Metrics()
        self.dialect = Dialect()
        self.lag = SimpleNamespace(millis=0)
        self.connections = 0
        self.clock = ManualClock(1_000)
        self.rooms = EntryRooms("a", enabled=True)
        self.targets = HandOverTargets("a", "own")
        self.gateway = Gateway(
            feed=cast("Any", feed),
            dialect=cast("Any", self.dialect),
            client=cast("Any", None),
            clock=self.clock,
            retry_limits=RetryLimits(),
            metrics=RoutingMetrics(self.metrics),
            rng=random.Random(1),
            lag=cast("Any", self.lag),
            connections=lambda: self.connections,
            rooms=self.rooms,
            targets=self.targets,
        )

    def learn_target(self, address: str) -> None:
        """Apply sums with an entry that offers room, and open a link to it."""
        now = self.clock.now()
        self.targets.apply([RoomOffer("a", address, 300)], now)
        self.targets.choose(now)
        for unlinked in self.targets.links_to_open(now):
            self.targets.linked(unlinked)

    def learn_rooms(self, entries: int, with_room: int) -> None:
        """Apply sums that state the rooms of the entry's domain."""
        row = DomainRoom("a", entries, with_room)
        self.rooms.apply([row], EntryRoom("a", has_room=False), self.clock.now())
        # Sums without engine pools show no scarcity. Both accounts use other entries.
        usage = tuple(UsageRow(name, 0, 1_000) for name in ("large", "small"))
        self.gateway.placer.apply_sums(0, LoadSums((), usage))

    def early_pause(self, account: str) -> int | None:
        """Return the pause of an early refusal, or None if there is none."""
        refusal = self.gateway.decide_early(Sender("r-1", account))
        return refusal.retry_after if isinstance(refusal, NotRun) else None

    async def serve(self, account: str) -> web.StreamResponse:
        """Serve a request of an account."""
        return await self.gateway._serve(cast("Any", account))


@pytest.fixture
def entry(monkeypatch: pytest.MonkeyPatch) -> Entry:
    """An entry where the account `large` exceeds its share."""
    entry = Entry()
    standings = {"large": Standing.AHEAD, "small": Standing.WITHIN}
    monkeypatch.setattr(
        entry.gateway.placer, "standing", lambda account, _: standings[account]
    )
    return entry


async def test_a_lagging_entry_refuses_accounts_over_their_share_unread(
    entry: Entry,
) -> None:
    entry.lag.millis = EXCESS_LAG + 1
    response = await entry.serve("large")
    assert response.status == 503
    assert SHORTEST_PAUSE // 2 <= int(response.headers["Pause"]) <= SHORTEST_PAUSE
    assert entry.dialect.read == 0


async def test_a_lagging_entry_reads_accounts_within_their_share(entry: Entry) -> None:
    entry.lag.millis = EXCESS_LAG + 1
    assert (await entry.serve("small")).status == 400
    assert entry.dialect.read == 1


async def test_an_entry_that_does_not_lag_reads_everything(entry: Entry) -> None:
    entry.lag.millis = EXCESS_LAG
    assert (await entry.serve("large")).status == 400
    assert entry.dialect.read == 1


def test_callers_within_their_share_are_redirected_where_others_have_room(
    entry: Entry,
) -> None:
    entry.learn_rooms(8, 7)
    entry.lag.millis = 10
    assert entry.early_pause("small") is None
    entry.lag.millis = 11
    pauses = {entry.early_pause("small") for _ in range(500)}
    assert pauses == set(range(1, 21))


def test_callers_are_not_redirected_while_engines_are_loaded(
    entry: Entry, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Their retry, the only one, would be refused within milliseconds.
    entry.learn_rooms(8, 7)
    monkeypatch.setattr(entry.gateway.placer, "engines_have_spare", lambda _: False)
    entry.lag.millis = MAX_LAG
    assert entry.early_pause("small") is None
    entry.lag.millis = MAX_LAG + 1
    pause = entry.early_pause("small")
    assert pause is not None
    assert 75 <= pause <= 150


def test_callers_of_an_account_that_uses_one_entry_are_not_redirected(
    entry: Entry,
) -> None:
    # They would return to this entry with their only retry.
    entry.learn_rooms(8, 7)
    entry.gateway.placer.apply_sums(0, LoadSums((), ()))
    entry.lag.millis = MAX_LAG
    assert entry.early_pause("small") is None
    entry.lag.millis = MAX_LAG + 1
    pause = entry.early_pause("small")
    assert pause is not None
    assert 75 <= pause <= 150


def test_accounts_within_their_share_of_an_entry_are_refused_at_a_larger_lag(
    entry: Entry, monkeypatch: pytest.MonkeyPatch
) -> None:
    placer = entry.gateway.placer
    monkeypatch.setattr(placer, "is_within_entry_share", lambda account, _: True)
    entry.lag.millis = MAX_LAG_WITHIN_SHARE
    assert entry.early_pause("small") is None
    entry.lag.millis = MAX_LAG_WITHIN_SHARE + 1
    assert entry.early_pause("small") is not None


def test_stopped_accounts_get_the_pause_of_a_busy_entry(
    entry: Entry, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Another entry would refuse them as well, and each would have used its retry.
    standings = {"large": Standing.STOPPED, "small": Standing.WITHIN}
    monkeypatch.setattr(
        entry.gateway.placer, "standing", lambda account, _: standings[account]
    )
    metrics = Metrics()
    entry.gateway._metrics = RoutingMetrics(metrics)
    entry.learn_rooms(8, 7)
    entry.lag.millis = 11
    pause = entry.early_pause("large")
    assert pause is not None
    assert 75 <= pause <= 150
    entry.early_pause("small")
    shown = metrics.render()
    assert b'busy_refusals_total{result="paused"} 1' in shown
    assert b'busy_refusals_total{result="redirected"} 1' in shown


@pytest.mark.parametrize(("with_room", "age"), [(3, 0), (7, 1_001)])
def test_without_room_elsewhere_an_entry_refuses_as_without_redirecting(
    entry: Entry, with_room: int, age: int
) -> None:
    entry.learn_rooms(8, with_room)
    entry.clock.advance(age)
    entry.lag.millis = 30
    assert entry.early_pause("small") is None
    entry.lag.millis = 31
    pause = entry.early_pause("small")
    assert pause is not None
    assert 75 <= pause <= 150


def test_pauses_grow_while_callers_are_redirected(entry: Entry) -> None:
    # Otherwise callers are told to return within 150 ms to an entry that has been busy
    # for seconds, once the others have no room either.
    entry.learn_rooms(8, 7)
    entry.lag.millis = 31
    for _ in range(11):
        entry.early_pause("small")
        entry.clock.advance(100)
    entry.learn_rooms(8, 0)
    pause = entry.early_pause("small")
    assert pause is not None
    assert 550 <= pause <= 1_100


def test_rooms_are_judged_after_the_body_was_read(entry: Entry) -> None:
    # Rooms that were learned while a body arrived counted as fresh at its end, however
    # long that took.
    entry.gateway._router = Router(
        Configuration(accounts=ACCOUNTS, routes={"r": make_route("r", "/chat/", "p")})
    )
    req = replace(make_request("own"), key="small")
    entry.lag.millis = 11
    entry.learn_rooms(8, 7)
    assert isinstance(entry.gateway._admit(req, b"", 0), NotRun)
    entry.clock.advance(1_001)
    assert not isinstance(entry.gateway._admit(req, b"", 0), NotRun)


async def test_work_of_redirected_callers_does_not_count_as_requested() -> None:
    # The entry that a caller reaches counts it. When both did, accounts seemed to get
    # less than they requested, and half of the callers in `test_busy_entries.py` were
    # taken for callers of an account beyond its share.
    entry = Entry()
    entry.gateway._router = Router(
        Configuration(accounts=ACCOUNTS, routes={"r": make_route("r", "/chat/", "p")})
    )
    entry.learn_rooms(8, 7)
    entry.lag.millis = MAX_LAG + 1
    req = replace(make_request("system", "own"), key="small")
    assert isinstance(entry.gateway._admit(req, b"", 1_000), NotRun)
    sender = Sender("r-1", "small", tokens_in=100, tokens_out=50)
    assert entry.gateway.decide_early(sender) is not None
    assert entry.gateway.placer.load_report().usage == ()


async def test_work_that_a_busy_entry_refuses_counts_as_requested() -> None:
    entry = Entry()
    entry.gateway._router = Router(
        Configuration(accounts=ACCOUNTS, routes={"r": make_route("r", "/chat/", "p")})
    )
    entry.lag.millis = MAX_LAG + 1
    req = replace(make_request("system", "own"), key="small")
    refusal = entry.gateway._admit(req, b"", 1_000)
    assert isinstance(refusal, NotRun)
    assert refusal.reason is Reason.ENTRY_BUSY
    # 200 prompt tokens, and 50 generated ones that count twice.
    usage = entry.gateway.placer.load_report().usage
    assert usage == (UsageRow("small", served=0, requested=300),)


def test_answers_tell_which_incarnation_holds_an_address() -> None:
    entry = Entry()
    view = entry.feed.view
    serving = make_upstream(1)
    stale = msgspec.structs.replace(serving, incarnation=Incarnation("i-stale"))
    view.update("a", [serving], 0)
    entry.gateway.note_ending(serving, Whole(200, (), b""))
    view.update("b", [stale], entry.gateway.now() + 1)
    assert view.pool("p") == [serving]
    entry.gateway.note_ending(serving, Declined())
    assert view.pool("p") == [serving]
    entry.gateway.note_ending(serving, Declined(misdirected=True))
    assert view.pool("p") == [stale]


def test_suppressed_log_lines_are_counted() -> None:
    metrics = Metrics()
    entry = Entry(metrics)
    for number in range(MAX_LINES_PER_SECOND + 7):
        entry.gateway._refuse(Sender(f"r-{number}", None), NotRun(Reason.NO_KEY), 0)
    entry.gateway.request_log.update_dropped_lines()
    assert b"leadseam_log_lines_dropped 7" in metrics.render()


async def test_at_a_stopping_entry_no_request_waits_for_a_configuration() -> None:
    async def no_body() -> bytes:
        return b""

    entry = Entry()
    entry.feed.confirmed = False
    entry.feed.fresh = False
    entry.feed.first_configuration = asyncio.Event().wait
    cast("Any", entry.dialect).read_request = lambda _: make_request("own")
    http = cast(
        "Any", SimpleNamespace(read=no_body, content_length=0, client_max_size=1_000)
    )
    entry.gateway.stopping = True
    assert (await entry.gateway._serve(http)).status == 503
    entry.gateway.stopping = False
    waiting = asyncio.create_task(entry.gateway._serve(http))
    await asyncio.sleep(0)
    assert not waiting.done()
    waiting.cancel()


def test_pauses_and_leaving_in_answers_are_counted_and_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    metrics = Metrics()
    entry = Entry(metrics)
    admitted = make_admitted()
    with caplog.at_level("INFO"):
        for status, head in (
            (503, make_head(pause=3_000)),
            (503, make_head(invalid_pause="soon")),
            (200, make_head(leaving=True)),
            (421, make_head(pause=3_000, leaving=True)),
        ):
            entry.gateway.note_head(make_upstream(1), admitted, status, head)
    assert [record.getMessage() for record in caplog.records] == [
        "upstream asks for a pause",
        "upstream asks for a pause",
        "upstream says in an answer that it leaves",
    ]
    shown = metrics.render()
    assert b'pauses_asked_total{result="read"} 1' in shown
    assert b'pauses_asked_total{result="not_read"} 1' in shown


def test_no_stream_goes_on_at_an_upstream_that_may_have_started_again(
    entry: Entry,
) -> None:
    row = msgspec.structs.replace(make_upstream(1, start=1_000), version="v1")
    entry.feed.view.update("a", [row], 0)
    entry.gateway.note_ending(row, Broken(Reason.UPSTREAM_BROKEN))
    assert entry.gateway.placer._candidates(Scope("p", version="v1")) == []
    assert entry.gateway.placer._candidates(Scope("p")) == [row]


def test_an_answer_that_this_box_breaks_off_is_no_sign_of_a_restart(
    entry: Entry,
) -> None:
    row = msgspec.structs.replace(make_upstream(1, start=1_000), version="v1")
    entry.feed.view.update("a", [row], 0)
    spoilt = SpoiltEvent(EventFault.NO_ID, 3, b"data: x\n\n")
    end = AnswerEnd(Framing.CHUNKS, Close.DROPPED, spoilt=spoilt)
    entry.gateway.note_ending(row, Broken(Reason.UPSTREAM_BROKEN, end))
    assert entry.gateway.placer._candidates(Scope("p", version="v1")) == [row]


@pytest.mark.parametrize("head", [HeadFault.UNSIGNED.ENCODED.NO_EVENTS])
def test_a_bad_head_of_an_answer_to_the_request_is_no_sign_of_a_restart(
    entry: Entry, head: HeadFault
) -> None:
    row = msgspec.structs.replace(make_upstream(1, start=1_000), version="v1")
    entry.feed.view.update("a", [row], 0)
    entry.gateway.note_ending(row, Broken(Reason.UPSTREAM_BROKEN, head=head))
    assert entry.gateway.placer._candidates(Scope("p", version="v1")) == [row]


def test_the_answer_to_another_request_may_be_a_sign_of_a_restart(entry: Entry) -> None:
    row = msgspec.structs.replace(make_upstream(1, start=1_000), version="v1")
    entry.feed.view.update("a", [row], 0)
    broken = Broken(Reason.UPSTREAM_BROKEN, head=HeadFault.OTHER_REQUEST)
    entry.gateway.note_ending(row, broken)
    assert entry.gateway.placer._candidates(Scope("p", version="v1")) == []


def test_a_busy_entry_hands_over_what_may_be_served(entry: Entry) -> None:
    entry.learn_rooms(8, 7)
    entry.learn_target("other")
    small = Sender("r-1", "small", tokens_in=100, tokens_out=50)
    assert entry.gateway.decide_early(small) is None
    entry.lag.millis = 11
    assert entry.gateway.decide_early(small) == HandOver("other")
    # The entry that serves the request counts it as requested.
    assert entry.gateway.placer.load_report().usage == ()
    large = entry.gateway.decide_early(replace(small, key="large"))
    assert isinstance(large, NotRun)
    # A caller is redirected if its body is too large to hand over.
    body = entry.gateway.decide_early(replace(small, body_size=MAX_HANDED_BODY + 1))
    assert isinstance(body, NotRun)


def test_a_handed_request_is_not_redirected(entry: Entry) -> None:
    # Its caller would come back to the entry that has handed it over.
    entry.gateway._router = Router(
        Configuration(accounts=ACCOUNTS, routes={"r": make_route("r", "/chat/", "p")})
    )
    req = replace(make_request("own"), key="small")
    entry.lag.millis = 11
    entry.learn_rooms(8, 7)
    assert isinstance(entry.gateway._admit(req, b"", 0), NotRun)
    handed = entry.gateway._admit(req, b"", 0, is_handed=True)
    assert not isinstance(handed, NotRun)
