"""The replicated log of one replica, in memory: the entries after its snapshot."""

from __future__ import annotations

from enum import IntEnum

from leadseam.errors import InvariantError
from leadseam.wire.codec import decode
from leadseam.wire.consensus import LogEntry
from leadseam.wire.record import Record


class EntryKind(IntEnum):
    """Content of a log entry."""

    NOOP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Membership(Record, frozen=True, array_like=True):
    """Identities of the group's replicas; learners receive the log but do not vote."""

    voters: tuple[str, ...]
    learners: tuple[str, ...] = ()

    @property
    def everyone(self) -> tuple[str, ...]:
        """Voters, then learners."""
        return self.voters + self.learners

    def quorum(self, agreed: set[str]) -> bool:
        """Return whether a majority of the voters is in `agreed`."""
        return 2 * len(agreed & set(self.voters)) > len(self.voters)


class HardState(Record, frozen=True, array_like=True):
    """State that must be synced before a vote or an acknowledgement is sent."""

    term: int = 0
    vote: str = ""


class SnapshotMetadata(Record, frozen=True, array_like=True):
    """Last entry that a snapshot covers, and the membership at it."""

    index: int = 0
    term: int = 0
    membership: Membership = Membership(())


class RaftLog:
    """Entries that follow a snapshot, by index.

    Args:
        metadata: Metadata of the snapshot that replaces the compacted part.
        entries: Entries after the snapshot, without gaps.
    """

    def __init__(self, metadata: SnapshotMetadata, entries: list[LogEntry]) -> None:
        self.snapshot_metadata = metadata
        self.entries = entries

    def __repr__(self) -> str:
        return f"RaftLog({self.snapshot_metadata.index}..{self.last_index})"

    @property
    def last_index(self) -> int:
        """Index of the last entry, or of the snapshot if there is none."""
        return self.snapshot_metadata.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry, or of the snapshot if there is none."""
        return self.entries[-1].term if self.entries else self.snapshot_metadata.term

    def term_at(self, index: int) -> int:
        """Return the term at an index, or -1 if the log does not contain it."""
        if index == self.snapshot_metadata.index:
            return self.snapshot_metadata.term
        offset = index - self.snapshot_metadata.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else -1

    def between(self, first: int, last: int | None = None) -> list[LogEntry]:
        """Return the entries from `first` to `last` inclusive, or to the end."""
        start = max(first - self.snapshot_metadata.index - 1, 0)
        stop = (
            len(self.entries)
            if last is None
            else max(last - self.snapshot_metadata.index, 0)
        )
        return self.entries[start:stop]

    def window(self, first: int, *, max_entries: int, max_bytes: int) -> list[LogEntry]:
        """Return entries from `first` on that fit into one message.

        Args:
            first: Index of the first entry.
            max_entries: Most entries.
            max_bytes: Most bytes of their data; one entry is returned at least.
        """
        entries = self.between(first, first + max_entries - 1)
        total = 0
        for position, entry in enumerate(entries):
            total += len(entry.data)
            if total > max_bytes and position:
                return entries[:position]
        return entries

    def membership_at(self, index: int) -> Membership:
        """Return the membership that is in effect at an index."""
        for entry in reversed(self.between(self.snapshot_metadata.index + 1, index)):
            if entry.kind == EntryKind.MEMBERSHIP:
                return decode(entry.data, Membership)
        return self.snapshot_metadata.membership

    def truncate(self, index: int) -> None:
        """Remove the entry at an index and all later ones."""
        del self.entries[index - self.snapshot_metadata.index - 1 :]

    def compact(self, index: int) -> SnapshotMetadata:
        """Drop the entries up to an index that the log contains.

        Returns:
            The metadata of the new snapshot.
        """
        if not self.snapshot_metadata.index < index <= self.last_index:
            raise InvariantError(f"cannot compact to {index}, outside {self!r}")
        metadata = SnapshotMetadata(
            index, self.term_at(index), self.membership_at(index)
        )
        self.entries = self.between(index + 1)
        self.snapshot_metadata = metadata
        return metadata

    def restore(self, metadata: SnapshotMetadata) -> None:
        """Start from a received snapshot; keep later entries if they continue it."""
        continues = self.term_at(metadata.index) == metadata.term
        self.entries = self.between(metadata.index + 1) if continues else []
        self.snapshot_metadata = metadata


def box_name(identity: str) -> str:
    """Return the box name in a replica identity of the form `name#incarnation`."""
    return identity.partition("#")[0]


def same_box(identity: str, other: str) -> bool:
    """Return whether two replica identities belong to the same box."""
    return box_name(identity) == box_name(other)
