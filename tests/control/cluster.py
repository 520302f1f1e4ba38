"""Replicas of the consensus core on a network and disks under a test's control."""

from __future__ import annotations

from dataclasses import dataclass, field

import cbor2

from leadseam.control.raft import Raft
from leadseam.control.raft_log import (
    EntryKind,
    HardState,
    Membership,
    SnapshotMetadata,
    box_name,
)
from leadseam.control.raft_types import RaftMessage, Role
from leadseam.wire.codec import encode
from leadseam.wire.consensus import LogEntry

BOXES = ("a", "b", "c")
TICK = 50
MAX_MESSAGES = 400
MAX_DELIVERED = 100_000
"""Messages handed over in one round, far above what a round brings about."""


@dataclass
class Disk:
    """What is synced on a box."""

    identity: str
    metadata: SnapshotMetadata
    hard_state: HardState = field(default_factory=HardState)
    snapshot: bytes = b""
    log: list[LogEntry] = field(default_factory=list)

    def store(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries as the journal does."""
        for entry in entries:
            position = entry.index - self.metadata.index - 1
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
        self.tolerated_losses = (len(names) - 1) // 2
        self.boxes: dict[str, Box] = {}
        self.cut_off: set[str] = set()
        self.suspended: dict[str, list[tuple[str, RaftMessage]]] = {}
        self.network: list[tuple[str, RaftMessage]] = []
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, bytes] = {}
        self.lost_disks = 0
        voters = tuple(f"{name}#first" for name in names)
        for name in names:
            metadata = SnapshotMetadata(membership=Membership(voters))
            self.boxes[name] = Box(Disk(f"{name}#first", metadata))
            self.start(name)

    def start(self, name: str) -> None:
        """Start a replica from its disk."""
        self.suspended.pop(name, None)
        box = self.boxes[name]
        self.seed += 1
        disk = box.disk
        box.raft = Raft(
            disk.identity,
            hard_state=disk.hard_state,
            metadata=disk.metadata,
            log=list(disk.log),
            now=self.now,
            seed=self.seed,
            tolerated_losses=self.tolerated_losses,
        )
        box.raft.set_snapshot_data(disk.snapshot)
        box.applied = decode_applied(disk.snapshot)

    def suspend(self, name: str) -> None:
        """Let a box stand still; what it is about to send is sent later."""
        self.suspended.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Let a box go on: first with what it was doing."""
        for target, message in self.suspended.pop(name, []):
            self._carry(target, message)

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
                metadata, data = ready.snapshot
                box.disk.metadata, box.disk.snapshot = metadata, data
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
        targets = [box_name(to)] if to else others
        for target in targets:
            if self.cut_off & {sender, target}:
                continue
            if sender in self.suspended:
                self.suspended[sender].append((target, message))
            else:
                self._carry(target, message)

    def _carry(self, target: str, message: RaftMessage) -> None:
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
        if to in self.suspended:
            # It waits in the box's socket, if there is room.
            self.network.append((to, message))
            return
        raft = self.boxes[to].raft if to in self.boxes else None
        if raft is not None:
            raft.receive(self.now, message)
            self.work(to)

    def tick(self, millis: int) -> None:
        """Let time pass for all."""
        self.now += millis
        for name, box in self.boxes.items():
            if box.raft is not None and name not in self.suspended:
                box.raft.tick(self.now)
                self.work(name)

    def settle(self, rounds: int) -> None:
        """Run without faults."""
        for _ in range(rounds):
            self.tick(TICK)
            for _ in range(MAX_DELIVERED):
                position = self._deliverable()
                if position is None:
                    break
                self.deliver(position)

    def _deliverable(self) -> int | None:
        """Return the position of the first message that its box can read, or None."""
        for position, (to, _) in enumerate(self.network):
            if to not in self.suspended:
                return position
        return None

    def leader(self) -> Raft | None:
        """Return the leader of the highest term, if any."""
        rafts = [box.raft for box in self.boxes.values() if box.raft is not None]
        leading = [raft for raft in rafts if raft.role is Role.LEADER]
        return max(leading, key=lambda raft: raft.term, default=None)

    def followers(self) -> list[Raft]:
        """Return the replicas that follow, in the order of their boxes."""
        rafts = [box.raft for box in self.boxes.values() if box.raft is not None]
        return [raft for raft in rafts if raft.role is Role.FOLLOWER]

    def holding_leases(self) -> list[Raft]:
        """Return the leaders that may answer for the group at this moment."""
        rafts = [box.raft for box in self.boxes.values() if box.raft is not None]
        return [
            raft
            for raft in rafts
            if raft.role is Role.LEADER and raft.holds_lease(self.now)
        ]

    def propose(self, data: bytes) -> bool:
        """Propose through the leader."""
        leader = self.leader()
        if leader is None or box_name(leader.identity) in self.suspended:
            return False
        index = leader.propose(self.now, EntryKind.COMMAND, data)
        self.work(box_name(leader.identity))
        return index is not None

    def suspend_between_quorum_and_answer(self, data: bytes) -> bool:
        """Propose, and let the leader stand still once a quorum has it.

        Returns:
            Whether a quorum had it; what stands still then has told nobody.
        """
        leader = self.leader()
        if leader is None or not self.propose(data):
            return False
        index = leader.log.last_index
        for _ in range(MAX_MESSAGES):
            position = self._deliverable()
            if position is None or leader.commit_index >= index:
                break
            self.deliver(position)
        if leader.commit_index < index:
            return False
        self.suspend(box_name(leader.identity))
        return True

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
        metadata = SnapshotMetadata(membership=Membership(()))
        self.boxes[name] = Box(Disk(identity, metadata))
        self.start(name)


def encode_applied(applied: list[tuple[int, bytes]]) -> bytes:
    """Encode a test's state machine."""
    return encode(applied)


def decode_applied(data: bytes) -> list[tuple[int, bytes]]:
    """Decode a test's state machine."""
    return [(index, value) for index, value in cbor2.loads(data)] if data else []


def elected() -> Cluster:
    """Return a cluster with a leader."""
    cluster = Cluster()
    cluster.settle(60)
    assert cluster.leader() is not None
    return cluster
