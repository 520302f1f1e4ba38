"""Guards against a voter that is gone for good and never removed from the group.

One of five boxes was removed, and an empty one started a second later. It caught up
within half a second, before the old one had timed out, and became a sixth voter. The
old one was never removed, since a voter left only for a newcomer that asked to join
while the voter was already silent. Six voters need a quorum of four: when two boxes
then lost their disks while all lost power, three were left. Nothing was served any
more; elsewhere the newest configuration could not be read back. The boxes' logs named
six voters at the last restart, three of them alive with all acknowledged data, and no
election was won afterwards.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.wire.consensus import PreVote
from tests.control.replacements import (
    CATCH_UP,
    FIVE,
    SECOND,
    bootstrapped,
    follower,
    follower_pair,
    leader_name,
    survive,
    voters,
)

if TYPE_CHECKING:
    from tests.control.cluster import Cluster

LONGEST_ELECTION = 28
"""In rounds, 1.4 s: an election timeout of at most 1 s and one further attempt."""


def test_a_replaced_box_costs_no_later_loss() -> None:
    for gone in ("follower", "leader"):
        cluster = bootstrapped()
        name = leader_name(cluster) if gone == "leader" else follower(cluster)
        cluster.remove(name)
        cluster.settle(SECOND)
        cluster.lose_disk("f")
        cluster.settle(CATCH_UP)
        assert voters(cluster) == set(cluster.boxes), gone

        assert survive(cluster, lost=follower_pair(cluster)), gone


def test_the_next_leader_continues_to_count_a_silence() -> None:
    """The silence of a member is counted across elections.

    The random sequences replaced a leader and, 3.5 s later, the next one. The count
    restarted with each election, so the first leader was still a voter beside the
    second one 4 s after its replacement had started; one lost disk then stopped the
    group.
    """
    for seed in range(20):
        cluster = bootstrapped(seed=seed)
        first = leader_name(cluster)
        cluster.remove(first)
        cluster.lose_disk("f")
        cluster.settle(LONGEST_ELECTION)
        cluster.remove(leader_name(cluster))
        cluster.lose_disk("g")
        cluster.settle(LONGEST_ELECTION + SECOND // 2)
        assert first not in voters(cluster), seed


def test_a_box_removed_after_its_replacement_joined_costs_no_later_loss() -> None:
    cluster = bootstrapped()
    cluster.lose_disk("f")
    cluster.settle(CATCH_UP)
    cluster.remove(follower(cluster))
    cluster.settle(CATCH_UP)
    assert voters(cluster) == set(cluster.boxes)

    assert survive(cluster, lost=follower_pair(cluster))


def test_a_stopping_box_leaves_at_once_if_its_replacement_has_joined() -> None:
    for stops in ("follower", "leader"):
        cluster = bootstrapped()
        cluster.lose_disk("f")
        cluster.settle(CATCH_UP)
        name = leader_name(cluster) if stops == "leader" else follower(cluster)
        stop_gracefully(cluster, name)
        cluster.remove(name)
        # The box has no time to be detected as silent.
        assert survive(cluster, lost=follower_pair(cluster)), stops


def test_a_stopping_box_is_replaced_before_it_times_out() -> None:
    cluster = bootstrapped()
    gone = follower(cluster)
    stop_gracefully(cluster, gone)
    cluster.remove(gone)
    cluster.lose_disk("f")
    cluster.settle(SECOND)
    assert voters(cluster) == set(cluster.boxes)


def test_a_stopping_box_is_not_elected_by_earlier_pre_votes() -> None:
    cluster = bootstrapped()
    cluster.remove(leader_name(cluster))
    cluster.network.clear()
    while not cluster.network:
        cluster.tick(10)
    _, request = cluster.network[0]
    assert isinstance(request, PreVote)
    name = request.sender.partition("#")[0]
    raft = cluster.boxes[name].raft
    assert raft is not None
    raft.leave(cluster.now)
    cluster.settle(2 * SECOND)
    assert leader_name(cluster) != name


def test_a_box_that_restarts_keeps_its_vote() -> None:
    cluster = bootstrapped()
    for name in FIVE:
        stop_gracefully(cluster, name)
        cluster.stop(name)
        cluster.settle(4 * SECOND)
        assert voters(cluster) == set(FIVE)
        cluster.start(name)
        cluster.settle(SECOND)
        raft = cluster.boxes[name].raft
        assert raft is not None
        assert raft.is_voter


def test_a_box_that_was_cut_off_votes_again_with_its_disk() -> None:
    cluster = bootstrapped()
    cut = follower(cluster)
    cluster.cut_off.add(cut)
    cluster.lose_disk("f")
    cluster.settle(5 * SECOND)
    assert voters(cluster) == set(cluster.boxes) - {cut}

    cluster.cut_off.clear()
    cluster.settle(SECOND)
    assert voters(cluster) == set(cluster.boxes)
    assert cluster.boxes[cut].disk.identity == f"{cut}#first"


def test_a_learner_removed_while_it_was_unreachable_joins_again() -> None:
    cluster = bootstrapped()
    cluster.lose_disk("f")
    cluster.settle(2)
    cluster.cut_off.add("f")
    cluster.settle(12 * SECOND)
    leader = cluster.leader()
    assert leader is not None
    assert "f" not in {name.partition("#")[0] for name in leader.membership.everyone}

    cluster.cut_off.clear()
    cluster.settle(SECOND)
    assert "f" in voters(cluster)


def stop_gracefully(cluster: Cluster, name: str) -> None:
    """Announce the stop of a box to the group, as its process does."""
    raft = cluster.boxes[name].raft
    assert raft is not None
    raft.leave(cluster.now)
    for _ in range(3 * SECOND):
        if raft.can_stop(cluster.now):
            return
        cluster.settle(1)
    raise AssertionError("no leader received the announcement")
