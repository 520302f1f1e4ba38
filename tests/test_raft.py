"""Raft on a network that loses, delays, duplicates and reorders messages.

A crash loses what was not synced; a box with a new disk gets a new identity.
"""

from __future__ import annotations

from statistics import mean
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from leadseam.control import raft
from leadseam.control.election import ELECTION_TIMEOUT, PRE_VOTE_RETRY_DELAY
from leadseam.control.raft import LEASE_DURATION, Raft
from leadseam.control.raft_log import box_name
from leadseam.control.raft_types import Role
from leadseam.wire.consensus import Join, PreVote, PreVoteReply, Vote, VoteReply
from tests.control.cluster import (
    BOXES,
    MAX_MESSAGES,
    Cluster,
    elected,
    encode_applied,
)

APPEND_BYTES = 60
"""Bytes of entries in one message of the simulated replicas."""


class RaftMachine(RuleBasedStateMachine):
    """Injects random faults and checks the safety properties after every step."""

    @initialize()
    def set_up(self) -> None:
        self.smaller_messages = patch.object(raft, "MAX_APPEND_BYTES", APPEND_BYTES)
        self.smaller_messages.start()
        self.cluster = Cluster()
        self.proposed = 0
        self.cluster.settle(60)

    @rule(rounds=st.integers(1, 12))
    def run(self, rounds: int) -> None:
        self.cluster.settle(rounds)

    @rule(millis=st.integers(10, ELECTION_TIMEOUT))
    def wait(self, millis: int) -> None:
        self.cluster.tick(millis)

    @rule(size=st.sampled_from([0, 0, 0, APPEND_BYTES // 3, 2 * APPEND_BYTES]))
    def propose(self, size: int) -> None:
        self.proposed += 1
        self.cluster.propose(b"c%d" % self.proposed + bytes(size))

    @precondition(lambda self: self.cluster.network)
    @rule(position=st.integers(0, MAX_MESSAGES), keep=st.booleans())
    def deliver(self, position: int, keep: bool) -> None:
        self.cluster.deliver(position, keep=keep)

    @precondition(lambda self: self.cluster.network)
    @rule(position=st.integers(0, MAX_MESSAGES))
    def lose(self, position: int) -> None:
        del self.cluster.network[position % len(self.cluster.network)]

    @rule(name=st.sampled_from(BOXES))
    def cut_off(self, name: str) -> None:
        kept = [(to, message) for to, message in self.cluster.network if to != name]
        self.cluster.network = kept

    @rule(name=st.sampled_from(BOXES))
    def crash(self, name: str) -> None:
        self.cluster.boxes[name].raft = None

    @rule(name=st.sampled_from(BOXES))
    def restart(self, name: str) -> None:
        self.cluster.start(name)
        self.cluster.process_ready(name)

    @rule(name=st.sampled_from(BOXES))
    def suspend(self, name: str) -> None:
        """Suspend a box; messages that it has yet to send wait until it resumes."""
        self.cluster.suspend(name)

    @rule(name=st.sampled_from(BOXES))
    def suspend_before_it_sends(self, name: str) -> None:
        """Suspend a box between syncing a decision and sending the message about it."""
        box = self.cluster.boxes[name]
        if box.raft is None or name in self.cluster.suspended:
            return
        box.raft.tick(self.cluster.now)
        self.cluster.suspend(name)
        self.cluster.process_ready(name)

    @rule()
    def suspend_between_quorum_and_answer(self) -> None:
        self.cluster.suspend_between_quorum_and_answer(b"acknowledged")

    @rule(name=st.sampled_from(BOXES))
    def resume(self, name: str) -> None:
        self.cluster.resume(name)

    @rule(name=st.sampled_from(BOXES))
    def compact(self, name: str) -> None:
        box = self.cluster.boxes[name]
        if box.raft is None or not box.applied:
            return
        index = box.raft.commit_index
        if index <= box.raft.log.snapshot_metadata.index:
            return
        data = encode_applied(box.applied)
        box.disk.metadata = box.raft.compact(index, data)
        box.disk.snapshot = data
        box.disk.log = list(box.raft.log.entries)

    @rule(name=st.sampled_from(BOXES))
    def lose_disk(self, name: str) -> None:
        """Lose a disk while all other boxes run and are voters."""
        self._repair()
        self.cluster.lose_disk(name)
        self.cluster.settle(80)
        leader = self.cluster.leader()
        assert leader is not None
        assert self.cluster.boxes[name].disk.identity in leader.membership.voters

    @invariant()
    def one_leader_at_most_holds_a_lease(self) -> None:
        if hasattr(self, "cluster"):
            assert len(self.cluster.lease_holders()) <= 1

    @invariant()
    def logs_agree(self) -> None:
        for box in self.cluster.boxes.values():
            for index, data in box.applied:
                assert self.cluster.committed[index] == data

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self.smaller_messages.stop()
        self._repair()
        assert self.cluster.propose(b"last")
        self.cluster.settle(20)
        expected = sorted(self.cluster.committed.items())
        for box in self.cluster.boxes.values():
            assert box.applied == expected

    def _repair(self) -> None:
        for name in list(self.cluster.suspended):
            self.cluster.resume(name)
        for name, box in self.cluster.boxes.items():
            if box.raft is None:
                self.cluster.start(name)
        self.cluster.settle(100)
        leader = self.cluster.leader()
        assert leader is not None
        assert len(leader.membership.voters) == len(BOXES)


TestRaft = RaftMachine.TestCase
TestRaft.settings = settings(max_examples=100, stateful_step_count=40)


def test_a_shorter_log_gets_no_vote() -> None:
    cluster = elected()
    assert cluster.propose(b"kept")
    cluster.settle(5)
    raft = cluster.followers()[0]
    later = cluster.now + 2 * ELECTION_TIMEOUT
    raft.receive(later, Vote("x#first", raft.term + 1, 1, 1))
    replies = [message for _, message in raft.take_ready().send]
    assert [one.granted for one in replies if isinstance(one, VoteReply)] == [False]


def test_a_frozen_leader_holds_no_lease_when_it_wakes() -> None:
    cluster = elected()
    leader = cluster.leader()
    assert leader is not None and leader.holds_lease(cluster.now)
    cluster.now += 2 * ELECTION_TIMEOUT
    assert not leader.holds_lease(cluster.now)
    assert not leader.is_current(cluster.now)


def test_a_leader_that_was_suspended_holds_no_lease_beside_the_next_one() -> None:
    cluster = elected()
    before = cluster.leader()
    assert before is not None
    cluster.suspend(box_name(before.identity))
    suspended_at = cluster.now
    cluster.settle(20)
    after = cluster.leader()
    assert after is not None and after.identity != before.identity
    cluster.resume(box_name(before.identity))
    assert cluster.lease_holders() == [after]
    # With a clock that stops during the suspension, both would hold a lease.
    assert before.role is Role.LEADER and before.holds_lease(suspended_at)


def test_an_entry_on_a_quorum_is_kept_when_its_leader_answers_late() -> None:
    cluster = elected()
    before = cluster.leader()
    assert before is not None
    assert cluster.suspend_between_quorum_and_answer(b"kept")
    index = before.log.last_index
    cluster.settle(20)
    after = cluster.leader()
    assert after is not None and after.identity != before.identity
    assert cluster.propose(b"later")
    cluster.settle(5)
    # The first leader answers only now, and its answer is still true.
    cluster.resume(box_name(before.identity))
    cluster.settle(5)
    for box in cluster.boxes.values():
        assert (index, b"kept") in box.applied


def test_a_cut_off_follower_is_not_current() -> None:
    cluster = elected()
    follower = cluster.followers()[0]
    assert follower.is_current(cluster.now)
    assert not follower.is_current(cluster.now + 2 * ELECTION_TIMEOUT)


def test_old_heartbeats_do_not_make_a_follower_current() -> None:
    cluster = elected()
    leader = cluster.leader()
    assert leader is not None
    name = next(name for name in BOXES if name != box_name(leader.identity))
    cluster.now += 100
    leader.tick(cluster.now + 200)
    cluster.process_ready(box_name(leader.identity))
    held = [item for item in cluster.network if item[0] == name]
    cluster.now += 10 * ELECTION_TIMEOUT
    raft = cluster.boxes[name].raft
    assert raft is not None
    for _, message in held:
        raft.receive(cluster.now, message)
    assert not raft.is_current(cluster.now)


def test_a_box_with_a_lost_disk_does_not_vote_as_before() -> None:
    cluster = elected()
    leader = cluster.leader()
    assert leader is not None
    name = next(name for name in BOXES if name != box_name(leader.identity))
    cluster.lose_disk(name)
    replaced = cluster.boxes[name].raft
    assert replaced is not None
    assert not replaced.is_voter
    assert replaced.identity not in leader.membership.voters


def test_a_second_box_may_be_lost_right_after_a_repair() -> None:
    cluster = elected()
    assert cluster.propose(b"kept")
    cluster.settle(5)
    leader = cluster.leader()
    assert leader is not None
    first, second = (name for name in BOXES if name != box_name(leader.identity))
    cluster.lose_disk(first)
    cluster.settle(80)
    cluster.boxes[second].raft = None
    cluster.settle(60)
    assert cluster.propose(b"after")
    cluster.settle(10)
    assert b"kept" in [data for _, data in cluster.boxes[first].applied]
    assert b"after" in [data for _, data in cluster.boxes[first].applied]


def time_to_lead_after_restarts(cluster: Cluster, starts: dict[str, int]) -> int:
    """Kill all boxes, restart some, and return the time to a leader in milliseconds.

    Args:
        cluster: The group.
        starts: Delay of the restart by box; other boxes stay down.
    """
    killed_at = cluster.now
    for box in cluster.boxes.values():
        box.raft = None
    cluster.network.clear()
    while cluster.leader() is None:
        for name, delay in starts.items():
            if cluster.boxes[name].raft is None and cluster.now >= killed_at + delay:
                cluster.start(name)
        cluster.tick(10)
        while cluster.network:
            cluster.deliver(0)
    return cluster.now - killed_at


def test_staggered_restarts_elect_a_leader_soon_after_a_quorum_runs() -> None:
    times = []
    for seed in range(60):
        cluster = elected()
        cluster.seed = 1_000 * seed
        times.append(time_to_lead_after_restarts(cluster, {"a": 0, "b": 390}))
    # The later box grants votes from 500 ms after its start on; the other one retries
    # its pre-vote soon after that.
    first_chance = 390 + ELECTION_TIMEOUT
    assert mean(times) <= first_chance + PRE_VOTE_RETRY_DELAY
    # Two candidates within the same 10 ms can split the vote once.
    assert max(times) <= first_chance + 4 * PRE_VOTE_RETRY_DELAY + 20


def test_a_voter_grants_nothing_until_a_lease_it_may_have_granted_is_over() -> None:
    cluster = elected()
    started = cluster.now
    disk = cluster.boxes["a"].disk
    raft = Raft(
        disk.identity,
        hard_state=disk.hard_state,
        metadata=disk.metadata,
        log=list(disk.log),
        now=started,
        seed=1,
    )
    request = PreVote("b#first", raft.term + 1, 99, 99)
    for later, granted in ((ELECTION_TIMEOUT - 1, False), (ELECTION_TIMEOUT, True)):
        raft.receive(started + later, request)
        replies = [message for _, message in raft.take_ready().send]
        assert [one.granted for one in replies if isinstance(one, PreVoteReply)] == [
            granted
        ]
    assert LEASE_DURATION < ELECTION_TIMEOUT


def test_a_request_to_join_is_passed_on_once() -> None:
    """Followers that took each other for the leader forwarded a request endlessly."""
    cluster = elected()
    first, second = cluster.followers()
    for follower in (first, second):
        follower.take_ready()
    first.leader, second.leader = second.identity, first.identity
    first.receive(cluster.now, Join("d#new"))
    ((to, passed),) = first.take_ready().send
    assert (to, passed) == (second.identity, Join("d#new", forwarded=True))
    second.receive(cluster.now, passed)
    assert second.take_ready().send == ()


def test_a_leader_takes_a_request_to_join_that_was_passed_on() -> None:
    cluster = elected()
    leader = cluster.leader()
    assert leader is not None
    leader.receive(cluster.now, Join("d#new", forwarded=True))
    cluster.settle(5)
    assert "d#new" in leader.membership.everyone
