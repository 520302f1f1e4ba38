"""The replicated log of one replica in memory: entries after a snapshot mark."""

from __future__ import annotations

from enum import IntEnum

from leadseam.errors import InvariantError
from leadseam.wire.codec import decode
from leadseam.wire.consensus import LogEntry
from leadseam.wire.record import Record


class EntryKind(IntEnum):
    """What a log entry carries."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Membership(Record, frozen=True, array_like=True):
    """Replica identities; a learner receives the log and does not vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def everyone(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return self.voters + self.learners

    def quorum(self, agreed: set[str]) -> bool:
        """Tell whether a majority of the voters is in `agreed`."""
        return 2 * len(agreed & set(self.voters)) > len(self.voters)


class HardState(Record, frozen=True, array_like=True):
    """What must be synced before a vote or an acknowledgement is sent."""

    term: int = 0
    vote: str = ""


class SnapshotMetadata(Record, frozen=True, array_like=True):
    """Where the compacted part of the log ends."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership(())


class RaftLog:
    """Entries that follow a snapshot, by index.

    Args:
        mark: Where the compacted part ends.
        entries: Entries after it, without a gap.
    """

    def __init__(self, metadata: SnapshotMetadata, entries: list[LogEntry]) -> None:
        self.snapshot_metadata = metadata
        self.entries = entries

    def __repr__(self) -> str:
        return f"RaftLog({self.snapshot_metadata.index}..{self.last_index})"

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the mark."""
        return self.snapshot_metadata.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the mark."""
        return self.entries[-1].term if self.entries else self.snapshot_metadata.term

    def term_at(self, index: int) -> int:
        """Return the term of an index, or -1 where it is not held."""
        if index == self.snapshot_metadata.index:
            return self.snapshot_metadata.term
        offset = index - self.snapshot_metadata.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else -1

    def between(self, first: int, last: int | None = None) -> list[LogEntry]:
        """Return the entries from `first` to `last`, or to the end."""
        start = max(first - self.snapshot_metadata.index - 1, 0)
        stop = (
            len(self.entries)
            if last is None
            else max(last - self.snapshot_metadata.index, 0)
        )
        return self.entries[start:stop]

    def membership_at(self, index: int) -> Membership:
        """Return the membership that the log gives at an index."""
        for entry in reversed(self.between(self.snapshot_metadata.index + 1, index)):
            if entry.kind == EntryKind.MEMBERSHIP:
                return decode(entry.data, Membership)
        return self.snapshot_metadata.membership

    def truncate(self, index: int) -> None:
        """Remove an index and all after it."""
        del self.entries[index - self.snapshot_metadata.index - 1 :]

    def compact(self, index: int) -> SnapshotMetadata:
        """Drop the entries up to an index that is held.

        Returns:
            The new mark.
        """
        if not self.snapshot_metadata.index < index <= self.last_index:
            raise InvariantError(f"compact to {index} outside {self!r}")
        metadata = SnapshotMetadata(
            index, self.term_at(index), self.membership_at(index)
        )
        self.entries = self.between(index + 1)
        self.snapshot_metadata = metadata
        return metadata

    def restore(self, metadata: SnapshotMetadata) -> None:
        """Take over a snapshot's mark; entries after it stay if they fit."""
        fits = self.term_at(metadata.index) == metadata.term
        self.entries = self.between(metadata.index + 1) if fits else []
        self.snapshot_metadata = metadata


def box_name(identity: str) -> str:
    """Return the box's name in a replica identity `name#incarnation`."""
    return identity.partition("#")[0]


def same_box(identity: str, other: str) -> bool:
    """Tell whether two identities belong to one box."""
    return box_name(identity) == box_name(other)
