"""A control box that is gone for good must not cost the group a loss it should bear.

What users saw: after two control boxes had lost their disks while all lost power,
nothing was served any more, for good; elsewhere the newest configuration could not be
read back.

What had happened: one of five boxes had been taken away, and an empty one had come a
second later. It had caught up within half a second, sooner than the old one was found
silent, and so became a sixth voter beside it. Nothing ever took the old one out.

The cause: a voter left only for a newcomer that asked while that voter was already
silent. Six voters need four; without the one that is gone and two lost disks, three
are left.

The evidence: the boxes' lines named six voters at their last restart, three of them
alive with all that was acknowledged, and no election was won from then on.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.test_raft import TICK, Cluster

if TYPE_CHECKING:
    from collections.abc import Iterable

FIVE = ("a", "b", "c", "d", "e")
SECOND = 1_000 // TICK
CATCH_UP = 4 * SECOND
"""Time after which a box that has come counts, and the one it replaces does not."""


def test_a_replaced_box_costs_no_later_loss() -> None:
    for gone in ("follower", "leader"):
        cluster = founded()
        name = leader_name(cluster) if gone == "leader" else follower(cluster)
        cluster.remove(name)
        cluster.settle(SECOND)
        cluster.lose_disk("f")
        cluster.settle(CATCH_UP)
        assert voters(cluster) == set(cluster.boxes), gone

        assert survive(cluster, lost=follower_pair(cluster)), gone


def test_a_box_that_goes_after_its_successor_has_come_costs_no_later_loss() -> None:
    cluster = founded()
    cluster.lose_disk("f")
    cluster.settle(CATCH_UP)
    cluster.remove(follower(cluster))
    cluster.settle(CATCH_UP)
    assert voters(cluster) == set(cluster.boxes)

    assert survive(cluster, lost=follower_pair(cluster))


def founded() -> Cluster:
    """Return a group of five with a leader."""
    cluster = Cluster(FIVE)
    cluster.settle(3 * SECOND)
    assert cluster.leader() is not None
    return cluster


def leader_name(cluster: Cluster) -> str:
    """Return the name of the box that leads."""
    leader = cluster.leader()
    assert leader is not None
    return leader.identity.partition("#")[0]


def follower(cluster: Cluster) -> str:
    """Return a box that does not lead."""
    return follower_pair(cluster)[0]


def follower_pair(cluster: Cluster) -> tuple[str, str]:
    """Return two boxes that do not lead."""
    leading = leader_name(cluster)
    first, second, *_ = [name for name in cluster.boxes if name != leading]
    return first, second


def voters(cluster: Cluster) -> set[str]:
    """Return the names of the boxes that vote."""
    leader = cluster.leader()
    assert leader is not None
    return {identity.partition("#")[0] for identity in leader.membership.voters}


def survive(cluster: Cluster, *, lost: Iterable[str]) -> bool:
    """Lose disks and stop all others; tell whether what was committed is all there."""
    assert cluster.propose(b"acknowledged")
    cluster.settle(1)
    before = dict(cluster.committed)
    assert b"acknowledged" in before.values()
    cluster.network.clear()
    for name in cluster.boxes:
        cluster.stop(name)
    cluster.settle(SECOND)
    for name in cluster.boxes:
        if name in lost:
            cluster.lose_disk(name)
        else:
            cluster.start(name)
    cluster.settle(CATCH_UP)
    return cluster.propose(b"after") and everywhere(cluster, before)


def everywhere(cluster: Cluster, committed: dict[int, bytes]) -> bool:
    """Tell whether all boxes apply what was committed, and more."""
    cluster.settle(SECOND)
    applied = [dict(box.applied) for box in cluster.boxes.values()]
    return all(committed.items() < one.items() for one in applied)
