"""The consensus core under a network that loses, delays, repeats and reorders.

Crashes lose what was not synced; a lost disk comes back under a new identity.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import mean

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from leadseam.control.raft import (
    ELECTION_TIMEOUT,
    LEASE,
    PRE_VOTE_PAUSE,
    Raft,
)
from leadseam.control.raft_log import (
    EntryKind,
    HardState,
    Membership,
    SnapshotMark,
    base_name,
)
from leadseam.control.raft_work import RaftMessage, Role
from leadseam.wire.codec import encode
from leadseam.wire.messages import LogEntry, PreVote, PreVoteReply, Vote, VoteReply

BOXES = ("a", "b", "c")
TICK = 50
MAX_MESSAGES = 400


@dataclass
class Disk:
    """What is synced on a box."""

    identity: str
    mark: SnapshotMark
    hard_state: HardState = field(default_factory=HardState)
    snapshot: bytes = b""
    log: list[LogEntry] = field(default_factory=list)

    def store(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries as the journal does."""
        for entry in entries:
            position = entry.index - self.mark.index - 1
            del self.log[position:]
            self.log.append(entry)


@dataclass
class Box:
    """A replica on its disk; `raft` is None while it is down."""

    disk: Disk
    raft: Raft | None = None
    applied: list[tuple[int, bytes]] = field(default_factory=list)


class Cluster:
    """Replicas and the messages between them, under a test's control.

    Args:
        names: The boxes that found the group.
        seed: Seed of the first box's jitter; each start takes the next one.
    """

    def __init__(self, names: tuple[str, ...] = BOXES, *, seed: int = 0) -> None:
        self.now = 0
        self.seed = seed
        self.losses = (len(names) - 1) // 2
        self.boxes: dict[str, Box] = {}
        self.cut_off: set[str] = set()
        self.network: list[tuple[str, RaftMessage]] = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, bytes] = {}
        self.lost_disks = 0
        voters = tuple(f"{name}#first" for name in names)
        for name in names:
            mark = SnapshotMark(membership=Membership(voters))
            self.boxes[name] = Box(Disk(f"{name}#first", mark))
            self.start(name)

    def start(self, name: str) -> None:
        """Start a replica from its disk."""
        box = self.boxes[name]
        self.seed += 1
        disk = box.disk
        box.raft = Raft(
            disk.identity,
            hard_state=disk.hard_state,
            mark=disk.mark,
            log=list(disk.log),
            now=self.now,
            seed=self.seed,
            losses=self.losses,
        )
        box.raft.set_snapshot_data(disk.snapshot)
        box.applied = decode_applied(disk.snapshot)

    def work(self, name: str) -> None:
        """Do what a replica's core asks for, as its owner does."""
        box = self.boxes[name]
        while box.raft is not None:
            ready = box.raft.take_ready()
            idle = not (ready.append or ready.send or ready.commit)
            if idle and ready.hard_state is None and ready.snapshot is None:
                return
            self._persist(box, box.raft)
            if ready.snapshot is not None:
                mark, data = ready.snapshot
                box.disk.mark, box.disk.snapshot = mark, data
                box.applied = decode_applied(data)
            box.disk.log = list(box.raft.log.entries)
            for to, message in ready.send:
                self._send(name, to, message)
            self._apply(box, ready.commit)
            box.raft.persisted(self.now, box.raft.log.last_index)
            self._note_leader(box.raft)

    def _persist(self, box: Box, raft: Raft) -> None:
        box.disk.hard_state = HardState(raft.term, raft.vote)

    def _send(self, sender: str, to: str, message: RaftMessage) -> None:
        others = [name for name in self.boxes if name != sender]
        targets = [base_name(to)] if to else others
        for target in targets:
            if self.cut_off & {sender, target}:
                continue
            if len(self.network) < MAX_MESSAGES:
                self.network.append((target, message))

    def _apply(self, box: Box, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry.data)
            assert known == entry.data, f"index {entry.index} was committed otherwise"
            box.applied.append((entry.index, entry.data))

    def _note_leader(self, raft: Raft) -> None:
        if raft.role is Role.LEADER:
            leader = self.leaders.setdefault(raft.term, raft.identity)
            assert leader == raft.identity, f"two leaders in term {raft.term}"

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Hand over one message; `keep` leaves a copy in the network."""
        position %= len(self.network)
        to, message = self.network[position]
        if not keep:
            del self.network[position]
        raft = self.boxes[to].raft if to in self.boxes else None
        if raft is not None:
            raft.receive(self.now, message)
            self.work(to)

    def tick(self, millis: int) -> None:
        """Let time pass for all."""
        self.now += millis
        for name, box in self.boxes.items():
            if box.raft is not None:
                box.raft.tick(self.now)
                self.work(name)

    def settle(self, rounds: int) -> None:
        """Run without faults."""
        for _ in range(rounds):
            self.tick(TICK)
            while self.network:
                self.deliver(0)

    def leader(self) -> Raft | None:
        """Return the leader of the highest term, if any."""
        rafts = [box.raft for box in self.boxes.values() if box.raft is not None]
        leading = [raft for raft in rafts if raft.role is Role.LEADER]
        return max(leading, key=lambda raft: raft.term, default=None)

    def propose(self, data: bytes) -> bool:
        """Propose through the leader."""
        leader = self.leader()
        if leader is None:
            return False
        index = leader.propose(self.now, EntryKind.COMMAND, data)
        self.work(base_name(leader.identity))
        return index is not None

    def stop(self, name: str) -> None:
        """End a box's process; its disk stays."""
        self.boxes[name].raft = None

    def remove(self, name: str) -> None:
        """Take a box away for good."""
        del self.boxes[name]

    def lose_disk(self, name: str) -> None:
        """Start a box, new or known, with an empty disk; it has to join."""
        self.lost_disks += 1
        identity = f"{name}#{self.lost_disks}"
        mark = SnapshotMark(membership=Membership(()))
        self.boxes[name] = Box(Disk(identity, mark))
        self.start(name)


def encode_applied(applied: list[tuple[int, bytes]]) -> bytes:
    """Encode a test's state machine."""
    return encode(applied)


def decode_applied(data: bytes) -> list[tuple[int, bytes]]:
    """Decode a test's state machine."""
    import cbor2

    return [(index, value) for index, value in cbor2.loads(data)] if data else []


class RaftMachine(RuleBasedStateMachine):
    """Random faults; safety is checked after every step."""

    @initialize()
    def set_up(self) -> None:
        self.cluster = Cluster()
        self.proposed = 0
        self.cluster.settle(60)

    @rule(rounds=st.integers(1, 12))
    def run(self, rounds: int) -> None:
        self.cluster.settle(rounds)

    @rule(millis=st.integers(10, ELECTION_TIMEOUT))
    def wait(self, millis: int) -> None:
        self.cluster.tick(millis)

    @rule()
    def propose(self) -> None:
        self.proposed += 1
        self.cluster.propose(b"c%d" % self.proposed)

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
        self.cluster.work(name)

    @rule(name=st.sampled_from(BOXES))
    def compact(self, name: str) -> None:
        box = self.cluster.boxes[name]
        if box.raft is None or not box.applied:
            return
        index = box.raft.commit_index
        if index <= box.raft.log.mark.index:
            return
        data = encode_applied(box.applied)
        box.disk.mark = box.raft.compact(index, data)
        box.disk.snapshot = data
        box.disk.log = list(box.raft.log.entries)

    @rule(name=st.sampled_from(BOXES))
    def lose_disk(self, name: str) -> None:
        """Lose a disk while all others are up and the group is whole."""
        self._repair()
        self.cluster.lose_disk(name)
        self.cluster.settle(80)
        leader = self.cluster.leader()
        assert leader is not None
        assert self.cluster.boxes[name].disk.identity in leader.membership.voters

    @invariant()
    def logs_agree(self) -> None:
        for box in self.cluster.boxes.values():
            for index, data in box.applied:
                assert self.cluster.committed[index] == data

    def teardown(self) -> None:
        if not hasattr(self, "cluster"):
            return
        self._repair()
        assert self.cluster.propose(b"last")
        self.cluster.settle(20)
        expected = sorted(self.cluster.committed.items())
        for box in self.cluster.boxes.values():
            assert box.applied == expected

    def _repair(self) -> None:
        for name, box in self.cluster.boxes.items():
            if box.raft is None:
                self.cluster.start(name)
        self.cluster.settle(100)
        leader = self.cluster.leader()
        assert leader is not None
        assert len(leader.membership.voters) == len(BOXES)


TestRaft = RaftMachine.TestCase
TestRaft.settings = settings(max_examples=100, stateful_step_count=40)


def elected() -> Cluster:
    """Return a cluster with a leader."""
    cluster = Cluster()
    cluster.settle(60)
    assert cluster.leader() is not None
    return cluster


def test_a_shorter_log_gets_no_vote() -> None:
    cluster = elected()
    assert cluster.propose(b"kept")
    cluster.settle(5)
    raft = next(
        box.raft
        for box in cluster.boxes.values()
        if box.raft is not None and box.raft.role is Role.FOLLOWER
    )
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


def test_a_cut_off_follower_is_not_current() -> None:
    cluster = elected()
    follower = next(
        box.raft
        for box in cluster.boxes.values()
        if box.raft is not None and box.raft.role is Role.FOLLOWER
    )
    assert follower.is_current(cluster.now)
    assert not follower.is_current(cluster.now + 2 * ELECTION_TIMEOUT)


def test_old_heartbeats_do_not_make_a_follower_current() -> None:
    cluster = elected()
    leader = cluster.leader()
    assert leader is not None
    name = next(name for name in BOXES if name != base_name(leader.identity))
    cluster.now += 100
    leader.tick(cluster.now + 200)
    cluster.work(base_name(leader.identity))
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
    name = next(name for name in BOXES if name != base_name(leader.identity))
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
    first, second = (name for name in BOXES if name != base_name(leader.identity))
    cluster.lose_disk(first)
    cluster.settle(80)
    cluster.boxes[second].raft = None
    cluster.settle(60)
    assert cluster.propose(b"after")
    cluster.settle(10)
    assert b"kept" in [data for _, data in cluster.boxes[first].applied]
    assert b"after" in [data for _, data in cluster.boxes[first].applied]


def time_to_lead_after_restarts(cluster: Cluster, starts: dict[str, int]) -> int:
    """Kill all boxes, start some again, and return when one leads, in milliseconds."""
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


def test_boxes_that_start_apart_elect_soon_after_the_last_that_is_needed() -> None:
    times = []
    for seed in range(60):
        cluster = elected()
        cluster.seed = 1_000 * seed
        times.append(time_to_lead_after_restarts(cluster, {"a": 0, "b": 390}))
    # The later one may vote 500 ms after its start; the other asks again soon.
    first_chance = 390 + ELECTION_TIMEOUT
    assert mean(times) <= first_chance + PRE_VOTE_PAUSE
    # Two that ask in the same 10 ms share the votes once.
    assert max(times) <= first_chance + 4 * PRE_VOTE_PAUSE + 20


def test_a_voter_grants_nothing_until_a_lease_it_may_have_granted_is_over() -> None:
    cluster = elected()
    started = cluster.now
    disk = cluster.boxes["a"].disk
    raft = Raft(
        disk.identity,
        hard_state=disk.hard_state,
        mark=disk.mark,
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
    assert LEASE < ELECTION_TIMEOUT
