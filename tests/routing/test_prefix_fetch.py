"""Placing requests by what engines hold, and fetching parts from another engine.

Each failure of a source or of the information must cost at most a prefill, and nothing
may change for pools whose engines do not fetch.
"""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any, cast
from unittest import mock

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.clock import ManualClock
from leadseam.control.routes import EngineProfile
from leadseam.membership.view import UpstreamView
from leadseam.routing.balance import Balancer, _Search
from leadseam.routing.dialect import PromptPart, RoutedRequest
from leadseam.routing.engine_order import ranked_for
from leadseam.routing.health import UpstreamHealth
from leadseam.routing.load import Load
from leadseam.routing.part_holders import part_digest
from leadseam.routing.placement import Placement
from leadseam.routing.placer import Placer
from leadseam.routing.prefix_fetch import SENT_RETENTION
from leadseam.routing.scope import Scope
from leadseam.wire.feed import CacheChanges, EngineCache, Registration
from tests.routing.samples import make_request, make_upstream

PROFILE = EngineProfile(
    slots=64,
    memory_tokens=230_242,
    fetches=True,
    token_bytes=131_072,
    link_mbps=1_100_000,
    event_calls=12,
)
SHARED = {"system": 2_520, "subject": 3_780}
PARTS = tuple(PromptPart(*one) for one in (*SHARED.items(), ("own", 2_890)))
LETTER = replace(make_request(), parts=PARTS, tokens_in=9_190)


class Entry:
    """A placer, and a replica that tells it what engines hold.

    Args:
        rows: Number of engines.
        domains: Number of failure domains, each in a region of its own.
        bound: Whether the pool is memory-bound.
    """

    def __init__(self, *, rows: int = 6, domains: int = 1, bound: bool = True) -> None:
        self.rows = [
            msgspec.structs.replace(
                make_upstream(number), slots=64, failure_domain=f"d{number % domains}"
            )
            for number in range(rows)
        ]
        self.view = UpstreamView({f"d{one}": f"r{one}" for one in range(domains)})
        self.view.update("a", self.rows, 0)
        feed = SimpleNamespace(view=self.view, entries=None)
        feed.entries = SimpleNamespace(recent_max=lambda _: 1)
        self.health = UpstreamHealth()
        self.placer = Placer(
            feed=cast("Any", feed),
            health=self.health,
            clock=ManualClock(),
            rng=random.Random(1),
        )
        self.holders = self.placer.holders
        self.balancer = self.placer._balancer
        self.scope = Scope("p")
        for _ in range(50 if bound else 0):
            self.placer._memory.record("p", LETTER)

    def report(
        self, row: Registration, parts: dict[str, int], *, replica: str = "a"
    ) -> None:
        """Report all that an engine holds, with the tokens kept of each part."""
        held = tuple((part_digest(one), tokens) for one, tokens in parts.items())
        rows = (EngineCache(row.incarnation.digest(), whole=True, held=held),)
        self.holders.apply(replica, CacheChanges(rows))

    def report_all(self, *holding: Registration) -> None:
        """Report that some engines hold the shared parts and the others nothing."""
        for row in self.rows:
            self.report(row, SHARED if row in holding else {})

    def ranked(self, req: RoutedRequest = LETTER) -> list[Registration]:
        """Return the engines in the agreed order."""
        return list(ranked_for(self.rows, req))

    def fill(self, *rows: Registration) -> None:
        """Use all slots of some engines."""
        for row in rows:
            self.balancer.loads.begin(row.incarnation, Load(requests=64))

    def find(self, now: int = 0, limit: float = 510) -> Placement | None:
        """Return the placement of a letter."""
        return self.balancer.place(
            self.ranked(), LETTER, PROFILE, limit, now, ahead=100, scope=self.scope
        )

    def place(self, now: int = 0) -> Placement:
        """Place a letter and send it."""
        placement = self.find(now)
        assert placement is not None
        self.balancer.begin(placement, LETTER.parts, now)
        return placement


def test_only_the_prefix_beyond_the_own_one_is_fetched() -> None:
    entry = Entry()
    home, second, *others = entry.ranked()
    entry.fill(home, *others)
    entry.report_all(home)
    whole = entry.find()
    entry.report(second, {"system": 2_520})
    rest = entry.find()
    # A part without those before it is of no use, at the engine and at the source.
    entry.report(second, {"subject": 3_780})
    entry.report(home, {"system": 1_000, "subject": 3_780})
    begin = entry.find()
    for placement, fetched, reread in (
        (whole, 6_300, 0),
        (rest, 3_780, 0),
        (begin, 1_000, 5_300),
    ):
        assert placement is not None
        assert (placement.upstream, placement.source) == (second, home)
        assert (placement.fetched, placement.reread) == (fetched, reread)
        assert placement.load.unread == 2_890 + reread
        assert placement.fetch_ms == pytest.approx(fetched * 131_072 * 8 / 1.1e9)


def test_an_engine_that_holds_the_parts_is_preferred() -> None:
    entry = Entry()
    entry.report_all(entry.ranked()[4])
    placement = entry.place()
    assert placement.upstream == entry.ranked()[4]
    assert (placement.fetched, placement.reread, placement.source) == (0, 0, None)


def test_parts_that_no_engine_holds_are_prefilled_in_the_agreed_order() -> None:
    # With the weight of tokens read again they would be refused by all engines.
    entry = Entry()
    entry.report_all()
    for now, row in enumerate(entry.ranked()):
        placement = entry.place(now * SENT_RETENTION)
        assert (placement.upstream, placement.reread) == (row, 6_300)
        entry.fill(row)


def test_what_was_just_sent_counts_as_held() -> None:
    entry = Entry()
    entry.report_all()
    rereads = []
    for now in (0, SENT_RETENTION - 1, 2 * SENT_RETENTION):
        placement = entry.place(now)
        rereads.append(placement.reread)
        entry.balancer.loads.end(placement.upstream.incarnation, placement.load)
    assert rereads == [6_300, 0, 6_300]


def test_parts_too_short_to_be_reported_do_not_break_a_prefix() -> None:
    entry = Entry()
    home, second, *_ = entry.ranked()
    entry.report_all(home)
    req = replace(LETTER, parts=(PromptPart("short", 172), *LETTER.parts))
    lookup = entry.placer._fetches.look_up(entry.scope, req, PROFILE, 0)
    assert lookup is not None
    plan = lookup.plan(second, 50.0, home=False)
    assert plan is not None
    assert (plan.fetched, plan.prefilled) == (6_472, 0)


def test_engines_that_are_not_covered_fetch_from_the_preferred_one() -> None:
    entry = Entry()
    home, second, *others = entry.ranked()
    for row in others:
        entry.report(row, SHARED)
    entry.fill(*others)
    placement = entry.place()
    assert placement.upstream == home
    assert (placement.fetched, placement.reread) == (0, 0)
    entry.fill(home)
    # Nobody has reported it, but the first engine is assumed to hold the parts.
    placement = entry.place()
    assert (placement.upstream, placement.source) == (second, home)
    assert (placement.fetched, placement.reread) == (5_040, 1_260)
    # Long after that request, a report replaces the assumption.
    entry.report(second, {})
    assert entry.place(now=30_000).fetched == 6_300


@pytest.mark.parametrize(
    "failure",
    ["gone", "address", "evacuated", "paused", "failing", "region", "replica"],
)
def test_an_unusable_source_is_not_named(failure: str) -> None:
    entry = Entry(domains=2)
    source = entry.ranked()[0]
    entry.report_all(source)
    entry.fill(source)
    assert entry.find() is not None
    match failure:
        case "gone":
            entry.view.expired("a", [source.incarnation])
        case "address":
            entry.view.left([source.incarnation])
            successor = msgspec.structs.replace(make_upstream(77), ip=source.ip)
            entry.view.update("a", [successor], 0)
        case "evacuated":
            entry.view.evacuate(1, [source.failure_domain], 0)
        case "paused":
            entry.placer.pause(source, 5_000)
        case "failing":
            entry.health.unreachable(source.incarnation, 0)
        case "region":
            other = "r1" if source.failure_domain == "d0" else "r0"
            entry.scope = Scope("p", frozenset({other}))
        case "replica":
            # Only the lost replica watches the source.
            unwatched = CacheChanges((), unwatched=(source.incarnation.digest(),))
            entry.holders.apply("a", unwatched)
            entry.report(source, SHARED, replica="b")
            entry.holders.drop_replica("b")
    placement = entry.place()
    assert (placement.source, placement.fetched, placement.reread) == (None, 0, 6_300)


def test_a_leaving_engine_is_a_source_while_it_is_watched() -> None:
    entry = Entry()
    home = entry.ranked()[0]
    entry.report_all(home)
    entry.view.left([home.incarnation])
    entry.rows.remove(home)
    assert entry.place().source == home
    entry.holders.apply("a", CacheChanges((), (home.incarnation.digest(),)))
    assert entry.place(2_000).source is None


def test_sources_in_the_own_domain_and_with_few_fetches_are_preferred() -> None:
    entry = Entry(rows=8, domains=2)
    target = entry.ranked()[1]
    holding = [row for row in entry.rows if row != target]
    entry.report_all(*holding)
    entry.fill(*holding)
    near = [row for row in holding if row.failure_domain == target.failure_domain]
    sent = []
    for number in range(2 * len(near)):
        sent.append(entry.place(2_000 * number))
        entry.balancer.loads.end(target.incarnation, sent[-1].load)
    named = [placement.source for placement in sent]
    assert set(named[: len(near)]) == set(named[len(near) :]) == set(near)
    entry.balancer.end_fetch(sent[2])
    assert entry.place(100_000).source == sent[2].source


def test_a_fetch_that_takes_too_long_is_not_planned() -> None:
    entry = Entry(domains=2)
    home, *others = entry.ranked()
    entry.report_all(home)
    # A token takes a fifth of the time to prefill it, and twice that between domains.
    slow = msgspec.structs.replace(PROFILE, link_mbps=131_072 * 8 / 1_000 / 0.2 * 50)
    lookup = entry.placer._fetches.look_up(entry.scope, LETTER, slow, 0)
    assert lookup is not None
    for row in others:
        plan = lookup.plan(row, 50.0, home=False)
        assert plan is not None
        near = row.failure_domain == home.failure_domain
        assert (plan.fetched, plan.again) == ((6_300, 0) if near else (0, 6_300))


def test_copies_of_a_hot_part_spread_in_the_agreed_order() -> None:
    # Copies on all engines at once would evict other parts everywhere.
    entry = Entry(rows=12)
    entry.report_all(entry.ranked()[0])
    used = [entry.ranked().index(entry.place().upstream) for _ in range(20)]
    copies = len(set(used))
    assert list(dict.fromkeys(used)) == list(range(copies))
    assert len(set(used[:6])) < 4 < copies < 12


@settings(derandomize=True, database=None, deadline=None)
@given(
    seed=st.integers(0, 10_000),
    case=st.sampled_from(["not bound", "cannot fetch"]),
    ahead=st.sampled_from([None, 0, 100]),
    limit=st.integers(20, 600),
)
def test_nothing_changes_where_nothing_can_be_fetched(
    seed: int, case: str, ahead: int | None, limit: int
) -> None:
    rng = random.Random(seed)
    entry = Entry(rows=20, bound=case != "not bound")
    profile = msgspec.structs.replace(PROFILE, fetches=case != "cannot fetch")
    entry.report_all(*rng.sample(entry.rows, 5))
    present, scope = Balancer(random.Random(1)), entry.scope
    for row in entry.rows:
        load = Load(rng.randrange(66), rng.choice([0, 0, 5_000, 40_000]), 0)
        millis = rng.randrange(20, 400)
        for balancer in (present, entry.balancer):
            balancer.loads.begin(row.incarnation, load)
            balancer.estimates.add_measurement(row, 20_000, 45 + millis)
    for now in range(20):
        part = PromptPart(f"subject-{rng.randrange(4)}", rng.choice([100, 600, 3_000]))
        req = replace(LETTER, parts=(part, PromptPart(f"own-{now}", 500)))
        ranked = ranked_for(entry.rows, req)
        expected = present.place(ranked, req, profile, limit, now, ahead=ahead)
        assert expected == entry.balancer.place(
            ranked, req, profile, limit, now, ahead=ahead, scope=scope
        )
        retried = present.place_over_limits(ranked, req, now)
        assert retried == entry.balancer.place_over_limits(
            ranked, req, now, scope=scope, profile=profile
        )
        if expected is not None:
            for balancer in (present, entry.balancer):
                balancer.begin(expected, req.parts, now)
                balancer.record_read(expected, req.parts, now)


@settings(derandomize=True, database=None, deadline=None)
@given(seed=st.integers(0, 10_000), limit=st.integers(100, 600))
def test_leaving_out_engines_changes_no_choice(seed: int, limit: int) -> None:
    rng = random.Random(seed)
    entry = Entry(rows=30, domains=3)
    for row in entry.rows:
        if rng.random() < 0.9:
            entry.report(row, SHARED if rng.random() < 0.2 else {})
        load = Load(rng.randrange(66), rng.choice([0, 0, 5_000, 40_000]), 0)
        entry.balancer.loads.begin(row.incarnation, load)
        entry.balancer.estimates.add_measurement(row, 20_000, rng.randrange(80, 800))
    entry.balancer.prompts.sent(rng.choice(entry.rows).incarnation, PARTS, 0)
    with mock.patch.object(_Search, "rules_out", return_value=False):
        every = entry.find(30, limit)
    assert entry.find(30, limit) == every


def test_few_engines_are_scored_and_parts_are_looked_up_once() -> None:
    entry = Entry(rows=96)
    entry.report_all(entry.ranked()[0])
    entry.fill(entry.ranked()[0])
    balancer, table = entry.balancer, entry.holders
    with (
        mock.patch.object(table, "holders", wraps=table.holders) as looked_up,
        mock.patch.object(balancer, "_score", wraps=balancer._score) as scored,
    ):
        entry.place()
    assert looked_up.call_count == 2
    assert scored.call_count == 1


def test_a_retry_gets_a_plan_unless_it_must_not_fetch() -> None:
    entry = Entry()
    home, *others = entry.ranked()
    entry.report_all(home)
    for fetching in (True, False):
        placement = entry.balancer.place_over_limits(
            others, LETTER, 0, scope=entry.scope, profile=PROFILE, fetching=fetching
        )
        assert placement is not None
        assert (placement.source == home) is fetching
