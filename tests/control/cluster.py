"""Raft replicas on a simulated network and simulated disks."""

from __future__ import annotations

from dataclasses import dataclass, field

import cbor2

from leadseam.control import raft as raft_module
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
from leadseam.wire.consensus import Append, LogEntry

BOXES = ("a", "b", "c")
TICK = 50
MAX_MESSAGES = 400
MAX_DELIVERED = 100_000
"""Limit of the messages delivered in one round, far above what a round produces."""


@dataclass
class Disk:
    """Synced content of a box's disk."""

    identity: str
    metadata: SnapshotMetadata
    hard_state: HardState = field(default_factory=HardState)
    snapshot: bytes = b""
    log: list[LogEntry] = field(default_factory=list)

    def store(self, entries: tuple[LogEntry, ...]) -> None:
        """Append entries, which replace those with the same or higher indexes."""
        for entry in entries:
            position = entry.index - self.metadata.index - 1
            del self.log[position:]
            self.log.append(entry)


@dataclass
class Box:
    """A disk and the replica on it; `raft` is None while the replica is down."""

    disk: Disk
    raft: Raft | None = None
    applied: list[tuple[int, bytes]] = field(default_factory=list)


class Cluster:
    """Replicas and the messages between them; time and faults are set by the test.

    Args:
        names: The boxes that bootstrap the group.
        seed: Each replica that starts takes the next higher number as its seed.
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
        """Suspend a box; the messages that it is about to send are sent later."""
        self.suspended.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Resume a box, which first sends its delayed messages."""
        for target, message in self.suspended.pop(name, []):
            self._enqueue(target, message)

    def process_ready(self, name: str) -> None:
        """Do the work that a replica's Raft core returns, as `Replica` does."""
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
                self._enqueue(target, message)

    def _enqueue(self, target: str, message: RaftMessage) -> None:
        if isinstance(message, Append) and len(message.entries) > 1:
            size = sum(len(entry.data) for entry in message.entries)
            assert size <= raft_module.MAX_APPEND_BYTES
        if len(self.network) < MAX_MESSAGES:
            self.network.append((target, message))

    def _apply(self, box: Box, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            known = self.committed.setdefault(entry.index, entry.data)
            assert known == entry.data, (
                f"index {entry.index} was committed with other data"
            )
            box.applied.append((entry.index, entry.data))

    def _note_leader(self, raft: Raft) -> None:
        if raft.role is Role.LEADER:
            leader = self.leaders.setdefault(raft.term, raft.identity)
            assert leader == raft.identity, f"two leaders in term {raft.term}"

    def deliver(self, position: int, *, keep: bool = False) -> None:
        """Deliver one message; with `keep` a copy stays in the network."""
        position %= len(self.network)
        to, message = self.network[position]
        if not keep:
            del self.network[position]
        if to in self.suspended:
            # The message waits in the socket of the suspended box.
            self.network.append((to, message))
            return
        raft = self.boxes[to].raft if to in self.boxes else None
        if raft is not None:
            raft.receive(self.now, message)
            self.process_ready(to)

    def tick(self, millis: int) -> None:
        """Advance the clock and tick all replicas."""
        self.now += millis
        for name, box in self.boxes.items():
            if box.raft is not None and name not in self.suspended:
                box.raft.tick(self.now)
                self.process_ready(name)

    def settle(self, rounds: int) -> None:
        """Run a number of rounds without further faults."""
        for _ in range(rounds):
            self.tick(TICK)
            for _ in range(MAX_DELIVERED):
                position = self._deliverable()
                if position is None:
                    break
                self.deliver(position)

    def _deliverable(self) -> int | None:
        """Return the position of the first message to a box that is not suspended."""
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
        """Return the followers, in the order of their boxes."""
        rafts = [box.raft for box in self.boxes.values() if box.raft is not None]
        return [raft for raft in rafts if raft.role is Role.FOLLOWER]

    def lease_holders(self) -> list[Raft]:
        """Return the leaders that hold a lease at this moment."""
        rafts = [box.raft for box in self.boxes.values() if box.raft is not None]
        return [
            raft
            for raft in rafts
            if raft.role is Role.LEADER and raft.holds_lease(self.now)
        ]

    def propose(self, data: bytes) -> bool:
        """Propose a command through the leader; return whether it was appended."""
        leader = self.leader()
        if leader is None or box_name(leader.identity) in self.suspended:
            return False
        index = leader.propose(self.now, EntryKind.COMMAND, data)
        self.process_ready(box_name(leader.identity))
        return index is not None

    def suspend_between_quorum_and_answer(self, data: bytes) -> bool:
        """Propose a command, and suspend the leader once a quorum has the command.

        Returns:
            Whether a quorum has it. The suspended leader has then not yet told anyone
            that the command is committed.
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
        """Stop the replica of a box; its disk is kept."""
        self.boxes[name].raft = None

    def remove(self, name: str) -> None:
        """Remove a box permanently."""
        del self.boxes[name]

    def lose_disk(self, name: str) -> None:
        """Start a new or existing box with an empty disk; it has to join."""
        self.lost_disks += 1
        identity = f"{name}#{self.lost_disks}"
        metadata = SnapshotMetadata(membership=Membership(()))
        self.boxes[name] = Box(Disk(identity, metadata))
        self.start(name)


def encode_applied(applied: list[tuple[int, bytes]]) -> bytes:
    """Encode the state machine of the simulated boxes."""
    return encode(applied)


def decode_applied(data: bytes) -> list[tuple[int, bytes]]:
    """Decode the state machine of the simulated boxes."""
    return [(index, value) for index, value in cbor2.loads(data)] if data else []


def elected() -> Cluster:
    """Return a cluster that has elected a leader."""
    cluster = Cluster()
    cluster.settle(60)
    assert cluster.leader() is not None
    return cluster
