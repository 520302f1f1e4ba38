"""Helpers for tests that replace boxes of the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.control.cluster import TICK, Cluster

if TYPE_CHECKING:
    from collections.abc import Iterable

THREE = ("a", "b", "c")
FIVE = (*THREE, "d", "e")
SEVEN = (*FIVE, "f", "g")
SECOND = 1_000 // TICK
CATCH_UP = 4 * SECOND
"""Rounds after which a new box has to be a voter, and the box it replaces none."""


def bootstrapped(names: tuple[str, ...] = FIVE, *, seed: int = 0) -> Cluster:
    """Return a newly bootstrapped group that has elected a leader."""
    cluster = Cluster(names, seed=1_000 * seed)
    cluster.settle(3 * SECOND)
    assert cluster.leader() is not None
    return cluster


def leader_name(cluster: Cluster) -> str:
    """Return the box name of the leader."""
    leader = cluster.leader()
    assert leader is not None
    return leader.identity.partition("#")[0]


def follower(cluster: Cluster) -> str:
    """Return the name of a box that is not the leader."""
    return follower_pair(cluster)[0]


def follower_pair(cluster: Cluster) -> tuple[str, str]:
    """Return the names of two boxes that are not the leader."""
    leading = leader_name(cluster)
    first, second, *_ = [name for name in cluster.boxes if name != leading]
    return first, second


def voters(cluster: Cluster) -> set[str]:
    """Return the box names of the voters."""
    leader = cluster.leader()
    assert leader is not None
    return {identity.partition("#")[0] for identity in leader.membership.voters}


def survive(cluster: Cluster, *, lost: Iterable[str]) -> bool:
    """Lose disks and restart all other boxes; return whether no commit was lost."""
    assert cluster.propose(b"acknowledged")
    cluster.settle(1)
    before = dict(cluster.committed)
    assert b"acknowledged" in before.values()
    restart_all(cluster, disks_lost=lost)
    cluster.settle(CATCH_UP)
    return cluster.propose(b"after") and applied_by_all(cluster, before)


def restart_all(cluster: Cluster, *, disks_lost: Iterable[str]) -> None:
    """Stop all boxes for a second; some restart with empty disks."""
    cluster.network.clear()
    for name in cluster.boxes:
        cluster.stop(name)
    cluster.settle(SECOND)
    for name in cluster.boxes:
        if name in disks_lost:
            cluster.lose_disk(name)
        else:
            cluster.start(name)


def applied_by_all(cluster: Cluster, committed: dict[int, bytes]) -> bool:
    """Return whether all boxes have applied the given commits, and more."""
    cluster.settle(SECOND)
    applied = [dict(box.applied) for box in cluster.boxes.values()]
    return all(committed.items() < one.items() for one in applied)
