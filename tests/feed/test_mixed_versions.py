"""Streams resumed at other entries while versions change, in virtual time."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from leadseam.clock import sleep
from leadseam.wire.versions import FindStream, StreamsBegan
from tests.feed.domain_fleet import run_fleet
from tests.feed.version_fleet import Streams, VersionFleet

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.feed.domain_fleet import SimFleet

MEMBERS = {"a-1", "a-2", "b-1", "b-2", "c-1"}
ENTRIES = [*"aabbcc"]
SPAN = 30_000
FAULTS = ("replica", "replicas", "entry", "cut", "freeze", "release", "crash")


def play(
    scenario: Callable[[VersionFleet], Awaitable[None]], seed: int = 1
) -> tuple[Streams, SimFleet, list[object]]:
    """Play a scenario beside callers; return its streams and all messages sent."""
    streams: list[Streams] = []
    sent: list[object] = []

    async def run(fleet: SimFleet) -> None:
        count = fleet.count
        fleet.count = lambda *args: (sent.append(args[2]), count(*args))[1]  # type: ignore[method-assign, func-returns-value]
        versions = VersionFleet(fleet, seed)
        streams.append(versions.streams)
        for _ in range(6):
            versions.add_upstream("v1")
        await sleep(3_000)
        calls = fleet.spawn(versions.keep_calling(SPAN))
        await scenario(versions)
        await calls

    fleet = run_fleet(run, MEMBERS, ENTRIES)
    return streams[0], fleet, sent


async def release(fleet: VersionFleet, version: str, count: int = 3) -> None:
    """Replace upstreams one after the other; each new one starts first."""
    for _ in range(count):
        fleet.add_upstream(version)
        await sleep(400)
        fleet.leave(fleet.upstreams[0])
        await sleep(400)


async def inject(fleet: VersionFleet, fault: str, version: str) -> None:
    """Let one fault occur."""
    sim, rng = fleet.fleet, fleet.rng
    entry = rng.choice(sim.entries)
    name = rng.choice(sorted(MEMBERS))
    match fault:
        case "replica" | "replicas":
            names = sorted(MEMBERS) if fault == "replicas" else [name]
            names = [one for one in names if one in sim.replicas]
            for one in names:
                sim.kill(one)
            await sleep(rng.randint(100, 1_500))
            for one in names:
                fleet.start_replica(one)
        case "entry":
            fleet.restart_entry(entry.number)
        case "cut":
            sim.cut(entry.box, name)
            sim.call_later(3_000, lambda: sim.cuts.clear())
        case "freeze":
            sim.frozen.add(name)
            sim.call_later(2_000, lambda: sim.thaw(name))
        case "release":
            await release(fleet, version, rng.randint(1, 4))
        case "crash":
            fleet.crash(rng.choice(fleet.upstreams))
            await sleep(200)
            fleet.add_upstream(version)


@pytest.mark.parametrize("seed", range(6))
def test_no_stream_goes_on_at_another_version_whatever_faults_occur(seed: int) -> None:
    async def scenario(fleet: VersionFleet) -> None:
        version = 1
        while fleet.fleet.clock.now() < SPAN:
            fault = fleet.rng.choice(FAULTS)
            version += fault == "release"
            await inject(fleet, fault, f"v{version}")
            await sleep(fleet.rng.randint(0, 2_500))

    streams, _, _ = play(scenario, seed)
    resumed = streams.resumed
    assert resumed["mixed"] == 0, [one for one in streams.log if one[1] == "mixed"]
    assert resumed["same"] > 0.9 * (resumed["same"] + resumed["version_unknown"])


def test_streams_that_began_before_a_second_version_came_go_on_at_the_first() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(6_000)
        fleet.add_upstream("v2")
        await sleep(500)
        fleet.restart_entry(0)

    streams, _, _ = play(scenario)
    assert streams.resumed["mixed"] == 0
    assert streams.resumed["same"] > 0.98 * streams.resumed.total()


def test_streams_are_found_after_all_replicas_have_restarted() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(3_000)
        await release(fleet, "v2")
        await inject(fleet, "replicas", "")
        await sleep(2_000)
        fleet.restart_entry(0)

    streams, _, _ = play(scenario)
    assert streams.resumed["mixed"] == 0
    assert streams.resumed["same"] > 0.98 * streams.resumed.total()


@pytest.mark.parametrize("seed", range(3))
def test_no_stream_goes_on_at_another_version_after_all_processes_ended(
    seed: int,
) -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(3_000)
        await release(fleet, "v2")
        fleet.restart_all(lose_streams=True)

    streams, _, _ = play(scenario, seed)
    assert streams.resumed["mixed"] == 0
    assert streams.resumed["version_unknown"] > 0


def test_streams_of_several_versions_go_on_after_all_processes_were_killed() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(3_000)
        await release(fleet, "v2")
        fleet.restart_all()

    for seed in range(3):
        streams, _, _ = play(scenario, seed)
        resumed = streams.resumed
        assert resumed["mixed"] == 0
        assert resumed["same"] > 0.98 * (resumed["same"] + resumed["version_unknown"])


def test_no_stream_changes_its_version_at_an_entry_cut_off_from_all_replicas() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(3_000)
        for name in MEMBERS:
            fleet.fleet.cut(fleet.fleet.entries[0].box, name)
        await sleep(2_000)
        await release(fleet, "v2")
        await sleep(6_000)
        fleet.fleet.cuts.clear()

    resumed = [play(scenario, seed)[0].resumed for seed in range(3)]
    assert [one["mixed"] for one in resumed] == [0, 0, 0]


def test_streams_go_on_after_all_processes_ended_if_there_is_one_version() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(3_000)
        fleet.restart_all()

    streams, _, _ = play(scenario)
    assert set(streams.resumed) <= {"same", "unplaced"}


def test_nothing_is_asked_or_refused_while_there_is_one_version() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        for fault in ("replica", "entry", "crash", "replicas", "entry"):
            await inject(fleet, fault, "v1")
            await sleep(4_000)

    streams, _, sent = play(scenario)
    assert set(streams.resumed) == {"same"}
    assert not [one for one in sent if isinstance(one, StreamsBegan | FindStream)]


def test_a_stream_whose_version_is_gone_is_refused() -> None:
    async def scenario(fleet: VersionFleet) -> None:
        await sleep(5_000)
        await release(fleet, "v2", 6)

    streams, _, _ = play(scenario)
    assert streams.resumed["mixed"] == 0
    assert streams.resumed["version_gone"] > 0
    assert streams.resumed["version_unknown"] == 0


@pytest.mark.parametrize("seed", range(3))
def test_no_stream_changes_its_version_where_entries_first_hear_an_outdated_replica(
    seed: int,
) -> None:
    async def scenario(fleet: VersionFleet) -> None:
        sim, outdated = fleet.fleet, "c-1"
        await sleep(2_000)
        sim.kill(outdated)
        await release(fleet, "v2")
        await sleep(2_000)
        # All entries are killed, and reach only a replica that was down before.
        fleet.start_replica(outdated)
        for entry in list(sim.entries):
            fleet.restart_entry(entry.number)
            for name in MEMBERS - {outdated}:
                sim.cut(entry.box, name)
        for upstream in fleet.upstreams:
            if upstream.row.version == "v1":
                upstream.replica = outdated
        await sleep(1_500)
        sim.cuts.clear()

    streams, _, _ = play(scenario, seed)
    resumed = streams.resumed
    assert resumed["mixed"] == 0
    assert resumed["same"] > 0.6 * resumed.total()
