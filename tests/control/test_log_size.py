"""Sizes of the log and of its messages, which are bounded in bytes."""

from __future__ import annotations

import pytest

from leadseam.control import raft
from leadseam.control.raft_log import (
    EntryKind,
    Membership,
    RaftLog,
    SnapshotMetadata,
    box_name,
)
from leadseam.control.raft_types import RaftMessage
from leadseam.wire.consensus import Append, LogEntry
from tests.control.cluster import elected

MAX_FRAME = 2_000
"""Bytes of entries above which a link drops a message."""


def make_log(*sizes: int) -> RaftLog:
    """Return a log with entries of some sizes."""
    entries = [
        LogEntry(1, index, EntryKind.COMMAND, bytes(size))
        for index, size in enumerate(sizes, 1)
    ]
    return RaftLog(SnapshotMetadata(0, 0, Membership(())), entries)


@pytest.mark.parametrize(
    ("sizes", "count"),
    [((), 0), ((5,), 1), ((50,), 1), ((5, 5, 5), 2), ((1, 50), 1), ((1,) * 9, 4)],
)
def test_a_message_holds_as_many_entries_as_fit(
    sizes: tuple[int, ...], count: int
) -> None:
    log = make_log(*sizes)
    assert len(log.window(1, max_entries=4, max_bytes=10)) == count


def test_an_empty_replica_catches_up_with_a_log_of_large_entries(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(raft, "MAX_APPEND_BYTES", 64)
    cluster = elected()
    for number in range(40):
        assert cluster.propose(b"%d" % number + bytes(50))
        cluster.settle(6)
    leader = cluster.leader()
    assert leader is not None
    name = next(one for one in cluster.boxes if one != box_name(leader.identity))
    # Messages are checked for their size as they are sent.
    cluster.lose_disk(name)
    cluster.settle(200)
    assert len(cluster.boxes[name].applied) >= 40


def test_a_replica_that_lost_its_disk_catches_up_though_large_frames_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one message with more bytes than a link transfers."""
    monkeypatch.setattr(raft, "MAX_APPEND_BYTES", 1_000, raising=False)
    cluster = elected()
    for number in range(40):
        assert cluster.propose(b"%d" % number + bytes(100))
        cluster.settle(6)
    leader = cluster.leader()
    assert leader is not None
    name = next(one for one in cluster.boxes if one != box_name(leader.identity))
    enqueue = cluster._enqueue

    def transfer(to: str, message: RaftMessage) -> None:
        if not isinstance(message, Append) or size_of(message) <= MAX_FRAME:
            enqueue(to, message)

    monkeypatch.setattr(cluster, "_enqueue", transfer)
    cluster.lose_disk(name)
    cluster.settle(200)
    assert len(cluster.boxes[name].applied) >= 40


def size_of(message: Append) -> int:
    """Return the bytes of a message's entries."""
    return sum(len(entry.data) for entry in message.entries)
