"""Aggregation of loads by failure domain, with one failure each, in virtual time.

Guards against totals that lack or repeat reports while replicas are lost, frozen, cut
off or replaced. An engine whose load is missing in a domain receives more requests than
it accepts; one whose load is counted twice stays idle.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.clock import Millis, sleep
from leadseam.feed.domain_sums import MAX_SUMS_AGE
from leadseam.wire.codec import decode
from tests.feed.domain_fleet import SimFleet, domain_of, run_fleet

if TYPE_CHECKING:
    from collections.abc import Callable

MEMBERS = {"a-1", "a-2", "b-1", "b-2", "c-1"}
ENTRIES = [*"aaaaabbbbbccccc"]
ALL = set(range(len(ENTRIES)))
SETTLED: Millis = 4_000
"""Time within which a fleet that starts has switched to aggregation by domain."""
FAULTS = ("kill", "start", "freeze", "thaw", "cut", "heal", "remove")


def play(
    fault: Callable[[SimFleet], None], within: Millis, *, span: Millis = 6_000
) -> SimFleet:
    """Let one fault occur; check that each report is missing for a bounded time."""

    async def scenario(fleet: SimFleet) -> None:
        await sleep(SETTLED)
        fleet.assert_whole()
        assert fleet.chosen() == {"a-1": 5, "b-1": 5, "c-1": 5}
        fault(fleet)
        assert await fleet.longest_gap(span, ALL) <= within
        fleet.assert_whole()

    return run_fleet(scenario, MEMBERS, ENTRIES)


def restart(fleet: SimFleet) -> None:
    """End a replica and start it again at once."""
    fleet.kill("b-1")
    fleet.start("b-1")


def remove(fleet: SimFleet) -> None:
    """Remove a replica from the control group."""
    fleet.kill("b-1")
    fleet.set_members(fleet.members - {"b-1"})


@pytest.mark.parametrize(
    ("fault", "within", "chosen"),
    [
        (lambda fleet: fleet.kill("a-1"), 150, {"a-2": 5, "b-1": 5, "c-1": 5}),
        (lambda fleet: fleet.kill("c-1"), 150, {"a-1": 10, "b-1": 5}),
        (lambda fleet: fleet.frozen.add("a-1"), 150, {"a-2": 5, "b-1": 5, "c-1": 5}),
        (restart, 300, {"a-1": 5, "b-1": 5, "c-1": 5}),
        (lambda fleet: fleet.start("c-0"), 150, {"a-1": 5, "b-1": 5, "c-0": 5}),
        (remove, 150, {"a-1": 5, "b-2": 5, "c-1": 5}),
    ],
    ids=["lost", "lost without another", "frozen", "restarted", "added", "removed"],
)
def test_one_replica_fails_or_changes(
    fault: Callable[[SimFleet], None], within: Millis, chosen: dict[str, int]
) -> None:
    assert play(fault, within).chosen() == chosen


@pytest.mark.parametrize("span", [300, 800, 1_500, 3_000])
def test_an_aggregator_that_goes_on_after_a_freeze_counts_nothing_twice(
    span: Millis,
) -> None:
    def fault(fleet: SimFleet) -> None:
        fleet.frozen.add("b-1")
        fleet.call_later(span, lambda: fleet.thaw("b-1"))

    assert play(fault, within=400).chosen() == {"a-1": 5, "b-1": 5, "c-1": 5}


def test_two_aggregators_cut_off_from_each_other_keep_their_own_domains() -> None:
    async def scenario(fleet: SimFleet) -> None:
        await sleep(SETTLED)
        fleet.cut("a-1", "b-1")
        own = {number for number, domain in enumerate(ENTRIES) if domain != "b"}
        await sleep(2 * MAX_SUMS_AGE)
        for entry in fleet.entries:
            lacked = {"a": "b", "b": "a"}.get(domain_of(entry.box), "")
            missing = {domain_of(fleet.entries[n].box) for n in fleet.missing(entry)}
            assert missing == set(lacked)
        fleet.cuts.clear()
        assert await fleet.longest_gap(6_000, own) <= 600
        fleet.assert_whole()

    run_fleet(scenario, MEMBERS, ENTRIES)


def test_after_the_loss_of_all_replicas_totals_return() -> None:
    async def scenario(fleet: SimFleet) -> None:
        await sleep(SETTLED)
        for name in MEMBERS:
            fleet.kill(name)
        await sleep(3_000)
        assert fleet.chosen() == {"": len(ENTRIES)}
        assert all(fleet.clock.now() - entry.at > 2_900 for entry in fleet.entries)
        for name in MEMBERS:
            fleet.start(name)
        await sleep(2_000)
        assert await fleet.longest_gap(4_000, ALL) <= 600
        fleet.assert_whole()
        assert fleet.chosen() == {"a-1": 5, "b-1": 5, "c-1": 5}

    run_fleet(scenario, MEMBERS, ENTRIES)


def test_a_small_fleet_sends_no_sums() -> None:
    async def scenario(fleet: SimFleet) -> None:
        await sleep(6_000)
        fleet.assert_whole()
        assert fleet.chosen() == {"a-1": 11}
        assert fleet.crossed["DomainSums"] == 0

    run_fleet(scenario, MEMBERS, ENTRIES[:11])


def test_with_a_replica_of_an_earlier_version_all_entries_choose_the_first() -> None:
    async def scenario(fleet: SimFleet) -> None:
        await sleep(SETTLED)
        fleet.assert_whole()
        assert fleet.chosen() == {"a-1": 15}
        assert fleet.replicas["b-2"].feed._loads.ages(fleet.clock.now()) == {}
        fleet.kill("b-2")
        fleet.earlier = ()
        fleet.start("b-2")
        # With sums sent to idle replicas every 500 ms only, it was 600 ms.
        assert await fleet.longest_gap(6_000, ALL) <= 250
        fleet.assert_whole()
        assert fleet.chosen() == {"a-1": 5, "b-1": 5, "c-1": 5}

    run_fleet(scenario, MEMBERS, ENTRIES, earlier={"b-2"})


@settings(derandomize=True, database=None, deadline=None, max_examples=8)
@given(
    faults=st.lists(
        st.tuples(
            st.sampled_from(FAULTS),
            st.sampled_from(sorted(MEMBERS)),
            st.sampled_from(sorted(MEMBERS)),
            st.sampled_from([20, 130, 700, 1_100, 2_700]),
        ),
        max_size=8,
    )
)
def test_no_report_is_counted_twice_and_all_are_once_faults_have_ended(
    faults: list[tuple[str, str, str, Millis]],
) -> None:
    async def scenario(fleet: SimFleet) -> None:
        await sleep(SETTLED)
        for fault, box, other, pause in faults:
            _bring_about(fleet, fault, box, other)
            await sleep(pause)
        fleet.cuts.clear()
        for box in MEMBERS:
            fleet.thaw(box)
            if box not in fleet.replicas:
                fleet.start(box)
        fleet.set_members(MEMBERS)
        await sleep(9_000)
        fleet.assert_whole()
        assert fleet.modes() == {True}

    run_fleet(scenario, MEMBERS, ENTRIES)


def _bring_about(fleet: SimFleet, fault: str, box: str, other: str) -> None:
    running = box in fleet.replicas
    match fault:
        case "kill" if running:
            fleet.kill(box)
        case "remove" if running:
            fleet.kill(box)
            fleet.set_members(fleet.members - {box})
        case "start" if not running:
            fleet.start(box)
        case "freeze":
            fleet.frozen.add(box)
        case "thaw":
            fleet.thaw(box)
        case "cut" if box != other:
            fleet.cut(box, other)
            fleet.cut(box, f"{domain_of(other)}-entry-0")
        case _:
            fleet.cuts.clear()


@pytest.mark.parametrize(("entries", "share"), [(30, 0.2), (100, 0.08), (390, 0.03)])
def test_bytes_between_domains(
    entries: int, share: float, record_property: Callable[[str, object], None]
) -> None:
    known: dict[tuple[bytes, object], object] = {}

    def decode_once(data: bytes, type_: type) -> object:
        if (data, type_) not in known:
            known[data, type_] = decode(data, type_)
        return known[data, type_]

    async def scenario(fleet: SimFleet) -> None:
        await sleep(3_000)
        fleet.crossed.clear()
        await sleep(500)

    domains = [*"abc"] * (entries // 3)
    crossed = []
    with mock.patch("leadseam.feed.client.decode", decode_once):
        for earlier in (MEMBERS, ()):
            fleet = run_fleet(
                scenario, MEMBERS, domains, load=(22, 30), earlier=earlier
            )
            record_property(f"bytes, earlier={earlier}", dict(fleet.crossed))
            crossed.append(fleet.crossed.total())
    before, after = crossed
    assert after <= share * before
