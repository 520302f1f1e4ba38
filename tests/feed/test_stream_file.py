"""The files of the streams that a control box holds."""

from __future__ import annotations

import asyncio
import os
from typing import TYPE_CHECKING
from unittest import mock

from leadseam.feed import stream_file
from leadseam.feed.stream_file import FILE_NAMES, StreamFile
from leadseam.wire.versions import StreamsBegan
from tools.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    import pytest

FIRST = StreamsBegan("p", "v1", b"aaaaa")
SECOND = StreamsBegan("p", "v2", b"bbbbbccccc")
THIRD = StreamsBegan("p", "v1", b"ddddd")


async def wait_stored(folder: Path, *messages: StreamsBegan) -> None:
    """Wait until a process that starts now would read these messages."""

    async def stored() -> bool:
        return sorted(StreamFile(folder).load(), key=str) == sorted(messages, key=str)

    await wait_until(stored, "the streams are stored")


async def wait_failing(file: StreamFile) -> None:
    """Wait until a write has failed."""

    async def failing() -> bool:
        return file._failing

    await wait_until(failing, "a write has failed")


async def test_streams_of_two_generations_are_read_again(tmp_path: Path) -> None:
    file = StreamFile(tmp_path)
    assert list(file.load()) == []
    file.append(FIRST)
    await wait_stored(tmp_path, FIRST)
    file.append(SECOND)
    file.rotate()
    file.append(THIRD)
    await wait_stored(tmp_path, FIRST, SECOND, THIRD)
    file.rotate()
    await wait_stored(tmp_path, THIRD)
    file.rotate()
    file.append(FIRST)
    await wait_stored(tmp_path, FIRST)


async def test_after_a_start_the_older_generation_is_dropped_first(
    tmp_path: Path,
) -> None:
    file = StreamFile(tmp_path)
    file.append(FIRST)
    await wait_stored(tmp_path, FIRST)
    file.rotate()
    file.append(SECOND)
    await wait_stored(tmp_path, FIRST, SECOND)
    file.rotate()
    file.append(THIRD)
    await wait_stored(tmp_path, SECOND, THIRD)
    file = StreamFile(tmp_path)
    assert len(list(file.load())) == 2
    file.rotate()
    await wait_stored(tmp_path, THIRD)


async def test_nothing_is_written_while_there_are_no_streams(tmp_path: Path) -> None:
    file = StreamFile(tmp_path)
    file.rotate()
    file.rotate()
    await asyncio.sleep(0.05)
    assert list(tmp_path.iterdir()) == []


async def test_what_was_stored_before_a_torn_record_is_read(tmp_path: Path) -> None:
    file = StreamFile(tmp_path)
    file.append(FIRST)
    file.append(SECOND)
    await wait_stored(tmp_path, FIRST, SECOND)
    path = tmp_path / FILE_NAMES[0]
    whole = path.read_bytes()
    for length in range(len(whole)):
        path.write_bytes(whole[:length])
        assert list(StreamFile(tmp_path).load()) in ([], [FIRST])
    path.write_bytes(whole + bytes(100))
    assert list(StreamFile(tmp_path).load()) == [FIRST, SECOND]


async def test_records_are_read_that_follow_a_torn_or_failed_write(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    file = StreamFile(tmp_path)
    file.append(FIRST)
    await wait_stored(tmp_path, FIRST)
    with open(tmp_path / FILE_NAMES[0], "ab") as torn:
        torn.write(b"torn")
    file = StreamFile(tmp_path)
    assert list(file.load()) == [FIRST]
    with monkeypatch.context() as patch:
        patch.setattr(os, "fsync", mock.Mock(side_effect=OSError("no space")))
        file.append(SECOND)
        await wait_failing(file)
    file.append(THIRD)
    await wait_stored(tmp_path, FIRST, THIRD)


async def test_a_disk_that_fails_or_stalls_ends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_file, "MAX_PENDING", 2)
    file = StreamFile(tmp_path / "missing")
    for _ in range(5):
        file.append(FIRST)
    assert file._pending == [[mock.ANY] * 2, []]
    await wait_failing(file)
    (tmp_path / "missing").mkdir()
    file.append(SECOND)
    await wait_stored(tmp_path / "missing", SECOND)
