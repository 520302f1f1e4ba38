"""The data folder: acknowledged data survives, and damage is detected."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadseam.control.raft_log import HardState, Membership, SnapshotMetadata
from leadseam.control.storage import Storage, format_folder, read_identity
from leadseam.errors import StorageDamagedError, StorageError
from leadseam.wire.consensus import LogEntry

if TYPE_CHECKING:
    from pathlib import Path

VOTERS = Membership(("a#first",))


def entries(first: int, last: int, *, term: int = 1) -> tuple[LogEntry, ...]:
    """Return log entries."""
    return tuple(LogEntry(term, n, 1, b"x%d" % n) for n in range(first, last + 1))


def opened(folder: Path) -> Storage:
    """Return an open storage on a formatted folder."""
    if read_identity(folder) is None:
        format_folder(folder, "a#first", VOTERS)
    storage = Storage(folder)
    storage.open()
    return storage


def journal_of_two_blocks(folder: Path) -> tuple[Path, int]:
    """Write entries 1 to 3, then 4 to 6; return the journal and the size before 4."""
    storage = opened(folder)
    storage.append(None, entries(1, 3))
    journal = folder / "journal-1"
    size = journal.stat().st_size
    storage.append(None, entries(4, 6))
    storage.close()
    return journal, size


def test_what_was_appended_is_recovered(tmp_path: Path) -> None:
    storage = opened(tmp_path)
    storage.append(HardState(3, "b#first"), entries(1, 5))
    storage.append(None, entries(4, 4, term=2))
    storage.close()
    recovered = Storage(tmp_path).open()
    assert recovered.hard_state == HardState(3, "b#first")
    assert recovered.log == [*entries(1, 3), *entries(4, 4, term=2)]
    assert recovered.metadata.membership == VOTERS


def test_compaction_leaves_files_that_others_are_writing(tmp_path: Path) -> None:
    storage = opened(tmp_path)
    leftovers = [tmp_path / name for name in ("journal-9.tmp", "identity.tmp")]
    others = [tmp_path / "versions.cbor.tmp"]
    for path in (*leftovers, *others):
        path.write_bytes(b"half")
    storage.compact(SnapshotMetadata(), b"", HardState(), ())
    assert [path.exists() for path in (*leftovers, *others)] == [False, False, True]


def test_compaction_keeps_the_state_and_later_entries(tmp_path: Path) -> None:
    storage = opened(tmp_path)
    storage.append(HardState(1, ""), entries(1, 9))
    metadata = SnapshotMetadata(6, 1, VOTERS)
    storage.compact(metadata, b"state", HardState(1, ""), entries(7, 9))
    storage.append(None, entries(10, 10))
    storage.close()
    recovered = Storage(tmp_path).open()
    assert (recovered.metadata, recovered.data) == (metadata, b"state")
    assert recovered.log == list(entries(7, 10))
    assert sorted(path.name for path in tmp_path.iterdir()) == [
        "identity",
        "journal-2",
        "snapshot-2",
    ]


@given(cut=st.integers(1, 60))
def test_a_torn_tail_is_cut(tmp_path_factory: pytest.TempPathFactory, cut: int) -> None:
    folder = tmp_path_factory.mktemp("data")
    journal, synced = journal_of_two_blocks(folder)
    os.truncate(journal, max(journal.stat().st_size - cut, synced))
    recovered = Storage(folder).open()
    assert recovered.log[:3] == list(entries(1, 3))
    again = Storage(folder).open()
    assert (again.log, again.cut) == (recovered.log, 0)


@given(start=st.integers(0, 200), length=st.integers(1, 60))
def test_an_append_of_which_only_other_parts_were_written_is_cut(
    tmp_path_factory: pytest.TempPathFactory, start: int, length: int
) -> None:
    folder = tmp_path_factory.mktemp("data")
    journal, synced = journal_of_two_blocks(folder)
    content = bytearray(journal.read_bytes())
    first = synced + start % (len(content) - synced)
    lost = content[first : first + length]
    content[first : first + length] = bytes(len(lost))
    journal.write_bytes(content)
    kept = 3 if any(lost) else 6
    assert Storage(folder).open().log == list(entries(1, kept))


def test_what_is_recovered_is_synced_before_it_is_relied_on(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    storage = opened(tmp_path)
    storage.append(None, entries(1, 3))
    storage.close()
    synced: list[str] = []
    fsync = os.fsync

    def note(fd: int) -> None:
        synced.append(os.readlink(f"/proc/self/fd/{fd}"))
        fsync(fd)

    monkeypatch.setattr(os, "fsync", note)
    Storage(tmp_path).open()
    # A killed process may have written this content without syncing it.
    assert str(tmp_path / "journal-1") in synced


@given(position=st.integers(0, 10_000))
def test_damage_in_the_middle_is_refused(
    tmp_path_factory: pytest.TempPathFactory, position: int
) -> None:
    folder = tmp_path_factory.mktemp("data")
    journal, damaged_end = journal_of_two_blocks(folder)
    content = bytearray(journal.read_bytes())
    content[position % damaged_end] ^= 0x40
    journal.write_bytes(content)
    with pytest.raises(StorageDamagedError):
        Storage(folder).open()


def test_a_broken_snapshot_is_refused(tmp_path: Path) -> None:
    opened(tmp_path).close()
    snapshot = tmp_path / "snapshot-1"
    snapshot.write_bytes(snapshot.read_bytes()[:-1] + b"?")
    with pytest.raises(StorageDamagedError):
        Storage(tmp_path).open()


def test_an_unfinished_generation_is_ignored(tmp_path: Path) -> None:
    storage = opened(tmp_path)
    storage.append(None, entries(1, 2))
    storage.close()
    (tmp_path / "snapshot-2").write_bytes(b"half")
    (tmp_path / "journal-2.tmp").write_bytes(b"half")
    assert Storage(tmp_path).open().log == list(entries(1, 2))
    assert not (tmp_path / "snapshot-2").exists()


def test_all_writes_fail_after_a_failed_write(tmp_path: Path) -> None:
    storage = opened(tmp_path)
    storage.append(None, entries(1, 2))
    storage.close()
    with pytest.raises(StorageError):
        storage.append(None, entries(3, 3))
    with pytest.raises(StorageError, match="earlier write failed"):
        storage.append(None, entries(3, 3))
    assert Storage(tmp_path).open().log == list(entries(1, 2))


def test_a_folder_is_formatted_once(tmp_path: Path) -> None:
    opened(tmp_path).close()
    with pytest.raises(StorageError, match="already formatted"):
        format_folder(tmp_path, "a#second", VOTERS)
