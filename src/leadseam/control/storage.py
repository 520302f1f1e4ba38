"""A replica's data folder: identity, journal and snapshot.

Layout of the folder, where `N` is a generation number:

- `identity`: the replica's box name and disk incarnation.
- `snapshot-N`: one record with the compacted state.
- `journal-N`: records appended since; an entry replaces all with its index or above.

Each block consists of a header (magic, length, CRC-32) and a CBOR payload. A block of
the journal contains the records that were synced together. A power loss may leave any
part of the last block unwritten, so only a broken block that an intact one follows is
damage and not an unfinished write. A generation is complete once `journal-N` has its
final name; the highest complete generation is used.
"""

from __future__ import annotations

import os
import struct
import zlib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, TypeAlias

from leadseam.control.raft_log import HardState, Membership, SnapshotMetadata
from leadseam.errors import StorageDamagedError, StorageError, WireError
from leadseam.wire.codec import decode, encode
from leadseam.wire.consensus import LogEntry
from leadseam.wire.record import Record

if TYPE_CHECKING:
    from collections.abc import Callable

IDENTITY_FILE = "identity"
TEMPORARY_SUFFIX = ".tmp"

_MAGIC = b"LSR1"
_HEADER = struct.Struct(">4sII")


class EntryRecord(Record, frozen=True, array_like=True, tag=1):
    """A log entry in the journal."""

    entry: LogEntry


class StateRecord(Record, frozen=True, array_like=True, tag=2):
    """Term and vote in the journal."""

    state: HardState


class SnapshotRecord(Record, frozen=True, array_like=True, tag=3):
    """The only record of a snapshot file."""

    metadata: SnapshotMetadata
    data: bytes


JournalRecord: TypeAlias = EntryRecord | StateRecord


@dataclass(frozen=True, slots=True)
class RecoveredState:
    """Content of a data folder when it was opened.

    Args:
        hard_state: Last synced term and vote.
        metadata: Metadata of the snapshot.
        data: State machine at the snapshot.
        log: Entries after the snapshot.
        cut: Number of bytes of an unfinished write that were truncated.
    """

    hard_state: HardState
    metadata: SnapshotMetadata
    data: bytes
    log: list[LogEntry]
    cut: int


def pack_block(payload: bytes) -> bytes:
    """Frame a payload as one block."""
    return _HEADER.pack(_MAGIC, len(payload), zlib.crc32(payload)) + payload


def _unpack_block(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the block at an offset, or None if it is not intact."""
    if offset + _HEADER.size > len(data):
        return None
    magic, length, checksum = _HEADER.unpack_from(data, offset)
    start = offset + _HEADER.size
    payload = data[start : start + length]
    # An empty payload has checksum 0, like a header of which only the start was
    # written.
    if magic != _MAGIC or not payload or len(payload) != length:
        return None
    return payload if zlib.crc32(payload) == checksum else None


def _intact_block_after(data: bytes, offset: int) -> bool:
    position = data.find(_MAGIC, offset + 1)
    while position >= 0:
        if _unpack_block(data, position) is not None:
            return True
        position = data.find(_MAGIC, position + 1)
    return False


def unpack_blocks(data: bytes, name: str) -> tuple[list[bytes], int]:
    """Split a journal into payloads.

    Args:
        data: Content of the file.
        name: File name for the error message.

    Returns:
        The payloads, and the offset at which an unfinished write begins.

    Raises:
        StorageDamagedError: If an intact block follows a broken one.
    """
    payloads: list[bytes] = []
    offset = 0
    while offset < len(data):
        payload = _unpack_block(data, offset)
        if payload is None:
            if _intact_block_after(data, offset):
                raise StorageDamagedError(f"{name}: broken block at byte {offset}")
            return payloads, offset
        payloads.append(payload)
        offset += _HEADER.size + len(payload)
    return payloads, offset


def sync_folder(folder: Path) -> None:
    """Sync a folder, which makes the names of its files durable."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def write_synced(path: Path, data: bytes) -> None:
    """Write a file atomically and sync it."""
    temporary = path.with_name(path.name + TEMPORARY_SUFFIX)
    with open(temporary, "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)


def format_folder(folder: Path, identity: str, membership: Membership) -> None:
    """Prepare an empty data folder.

    Args:
        folder: The data folder; must exist.
        identity: The replica's identity.
        membership: Initial membership; empty for a replica that has to join.

    Raises:
        StorageError: If the folder is already formatted or cannot be written.
    """
    if (folder / IDENTITY_FILE).exists():
        raise StorageError(f"{folder}: already formatted")
    try:
        metadata = SnapshotMetadata(membership=membership)
        _write_generation(folder, 1, metadata, b"", (StateRecord(HardState()),))
        write_synced(folder / IDENTITY_FILE, identity.encode())
    except OSError as exc:
        raise StorageError(f"{folder}: {exc}") from exc


def read_identity(folder: Path) -> str | None:
    """Return the identity stored in a data folder, or None if it is not formatted."""
    try:
        return (folder / IDENTITY_FILE).read_text()
    except FileNotFoundError:
        return None
    except OSError as exc:
        raise StorageError(f"{folder}: {exc}") from exc


def _write_generation(
    folder: Path,
    generation: int,
    metadata: SnapshotMetadata,
    data: bytes,
    records: tuple[JournalRecord, ...],
) -> None:
    snapshot = pack_block(encode(SnapshotRecord(metadata, data)))
    write_synced(folder / f"snapshot-{generation}", snapshot)
    write_synced(folder / f"journal-{generation}", pack_block(encode(records)))


def _generations(folder: Path, prefix: str) -> list[int]:
    names = (path.name for path in folder.glob(f"{prefix}-*"))
    numbers = (name.removeprefix(f"{prefix}-") for name in names)
    return sorted(int(number) for number in numbers if number.isdigit())


class Storage:
    """An open data folder; not safe for use from two threads at once.

    Args:
        folder: A formatted data folder.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._generation = 0
        self._fd = -1
        self.failed = False

    def __repr__(self) -> str:
        return f"Storage({self._folder}, generation={self._generation})"

    def open(self) -> RecoveredState:
        """Recover the folder's content and open the journal for appending.

        Raises:
            StorageDamagedError: If anything other than an unfinished last write is
                broken.
            StorageError: If the folder cannot be read or written.
        """
        try:
            return self._open()
        except (OSError, WireError) as exc:
            raise StorageError(f"{self._folder}: {exc}") from exc

    def rewrite(self, recovered: RecoveredState) -> None:
        """Write the recovered state again as a new generation.

        After a failed write or sync, reads of a file may return data that is not on the
        disk, and a later sync of that file may still succeed. A new generation is
        durable.

        Args:
            recovered: The state returned by `open`.

        Raises:
            StorageError: If the disk still fails.
        """
        log = tuple(recovered.log)
        self.compact(recovered.metadata, recovered.data, recovered.hard_state, log)

    def append(self, state: HardState | None, entries: tuple[LogEntry, ...]) -> None:
        """Append records to the journal and sync it.

        Raises:
            StorageError: If the records may not be durable; all later calls fail too.
        """
        records: list[JournalRecord] = [EntryRecord(entry) for entry in entries]
        if state is not None:
            records.append(StateRecord(state))
        block = pack_block(encode(tuple(records)))
        self._run_write(lambda: self._write(block))

    def compact(
        self,
        metadata: SnapshotMetadata,
        data: bytes,
        state: HardState,
        log: tuple[LogEntry, ...],
    ) -> None:
        """Start a new generation from a snapshot and the entries after it.

        Raises:
            StorageError: If it may not be durable; all later calls fail too.
        """
        self._run_write(lambda: self._compact(metadata, data, state, log))

    def close(self) -> None:
        """Close the journal."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _run_write(self, work: Callable[[], None]) -> None:
        if self.failed:
            raise StorageError(f"{self._folder}: an earlier write failed")
        try:
            work()
        except OSError as exc:
            # After a failed write or sync the content of the disk is unknown.
            self.failed = True
            raise StorageError(f"{self._folder}: {exc}") from exc

    def _write(self, block: bytes) -> None:
        view = memoryview(block)
        while view:
            view = view[os.write(self._fd, view) :]
        os.fsync(self._fd)

    def _compact(
        self,
        metadata: SnapshotMetadata,
        data: bytes,
        state: HardState,
        log: tuple[LogEntry, ...],
    ) -> None:
        entries = tuple(EntryRecord(entry) for entry in log)
        records: tuple[JournalRecord, ...] = (StateRecord(state), *entries)
        _write_generation(self._folder, self._generation + 1, metadata, data, records)
        self.close()
        self._generation += 1
        self._open_journal()
        self._remove_old()

    def _open(self) -> RecoveredState:
        generations = _generations(self._folder, "journal")
        if not generations:
            raise StorageError(f"{self._folder}: no journal")
        self._generation = generations[-1]
        snapshot = self._read_snapshot()
        journal = self._folder / f"journal-{self._generation}"
        content = journal.read_bytes()
        payloads, end = unpack_blocks(content, journal.name)
        hard_state, log = _replay(payloads, snapshot.metadata)
        self._open_journal()
        if end < len(content):
            os.ftruncate(self._fd, end)
        # A killed process may have written this content without syncing it.
        os.fsync(self._fd)
        self._remove_old()
        cut = len(content) - end
        return RecoveredState(hard_state, snapshot.metadata, snapshot.data, log, cut)

    def _read_snapshot(self) -> SnapshotRecord:
        path = self._folder / f"snapshot-{self._generation}"
        try:
            payload = _unpack_block(path.read_bytes(), 0)
        except FileNotFoundError:
            payload = None
        if payload is None:
            raise StorageDamagedError(f"{path.name}: missing or broken")
        return decode(payload, SnapshotRecord)

    def _open_journal(self) -> None:
        path = self._folder / f"journal-{self._generation}"
        self._fd = os.open(path, os.O_WRONLY | os.O_APPEND)

    def _remove_old(self) -> None:
        for prefix in ("journal", "snapshot"):
            for number in _generations(self._folder, prefix):
                if number != self._generation:
                    (self._folder / f"{prefix}-{number}").unlink()
        # Other files of the folder may be being written at this moment.
        for name in ("journal-*", "snapshot-*", IDENTITY_FILE):
            for leftover in self._folder.glob(name + TEMPORARY_SUFFIX):
                leftover.unlink()


def _replay(
    payloads: list[bytes], metadata: SnapshotMetadata
) -> tuple[HardState, list[LogEntry]]:
    hard_state = HardState()
    log: list[LogEntry] = []
    for payload in payloads:
        for record in _records(payload):
            match record:
                case StateRecord(state=state):
                    hard_state = state
                case EntryRecord(entry=entry):
                    position = entry.index - metadata.index - 1
                    if not 0 <= position <= len(log):
                        raise StorageDamagedError(
                            f"entry {entry.index} does not continue the log"
                        )
                    del log[position:]
                    log.append(entry)
    return hard_state, log


def _records(payload: bytes) -> tuple[JournalRecord, ...]:
    """Return the records of a block; the first release wrote one record per block."""
    try:
        return decode(payload, tuple[JournalRecord, ...])
    except WireError:
        record: JournalRecord = decode(payload, JournalRecord)  # type: ignore[arg-type]
        return (record,)
