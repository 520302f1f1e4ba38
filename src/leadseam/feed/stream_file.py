"""The files in which a control box keeps the streams that it holds over a restart.

If all entries and control boxes end together, nobody else knows which version began the
streams that callers then resume. Nothing is written while each pool has one version, as
entries tell of no streams then.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import struct
from typing import TYPE_CHECKING

from leadseam.clock import Millis, sleep
from leadseam.errors import WireError
from leadseam.runtime.tasks import spawn
from leadseam.wire.codec import decode, encode
from leadseam.wire.versions import StreamsBegan

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

FILE_NAMES = ("streams-0.cbor", "streams-1.cbor")
"""One file for each generation of streams, used in turn."""
SYNC_INTERVAL: Millis = 20
"""Time between two writes, so that the disk has time for the log of the replica."""
MAX_PENDING = 10_000
"""Maximum records that wait for a disk that stalls; further ones are not kept."""
RECORD_HEAD = struct.Struct(">I")
"""Length of a record in bytes, before the record."""

log = logging.getLogger(__name__)


class StreamFile:
    """Streams of the current and the previous generation.

    Args:
        folder: Data folder of the box.
    """

    def __init__(self, folder: Path) -> None:
        self._paths = [folder / name for name in FILE_NAMES]
        self._sizes = [0, 0]
        self._current = int(_modified(self._paths[1]) > _modified(self._paths[0]))
        self._rotations = 0
        self._pending: list[list[bytes]] = [[], []]
        self._emptied: set[int] = set()
        self._writing = False
        self._failing = False

    def load(self) -> Iterator[StreamsBegan]:
        """Yield the streams of both generations, each up to a damaged record.

        What is damaged is overwritten. Call this before the first `append`.
        """
        for number, path in enumerate(self._paths):
            try:
                data = path.read_bytes()
            except FileNotFoundError:
                continue
            except OSError as exc:
                log.warning("streams not read", extra={"error": str(exc)})
                continue
            for end, message in _decode_records(data):
                self._sizes[number] = end
                yield message

    def append(self, message: StreamsBegan) -> None:
        """Write streams of the current generation in the background."""
        pending = self._pending[self._current]
        if len(pending) < MAX_PENDING:
            record = encode(message)
            pending.append(RECORD_HEAD.pack(len(record)) + record)
            self._write_soon()

    def rotate(self) -> None:
        """Begin a generation in place of the one before the current one."""
        self._current = 1 - self._current
        self._rotations += 1
        self._pending[self._current].clear()
        if self._sizes[self._current]:
            self._sizes[self._current] = 0
            self._emptied.add(self._current)
            self._write_soon()

    def _write_soon(self) -> None:
        if not self._writing:
            self._writing = True
            spawn(self._write_pending())

    async def _write_pending(self) -> None:
        while any(self._pending) or self._emptied:
            for number in (0, 1):
                await self._write_file(number)
            await sleep(SYNC_INTERVAL)
        self._writing = False

    async def _write_file(self, number: int) -> None:
        records, self._pending[number] = self._pending[number], []
        if not records and number not in self._emptied:
            return
        self._emptied.discard(number)
        start, rotations = self._sizes[number], self._rotations
        data = b"".join(records)
        try:
            await asyncio.to_thread(_write, self._paths[number], start, data)
        except OSError as exc:
            if not self._failing:
                log.warning("streams not written", extra={"error": str(exc)})
            self._failing = True
            return
        self._failing = False
        if self._rotations - rotations < len(self._paths):
            # Otherwise a later generation uses the file.
            self._sizes[number] = start + len(data)


def _write(path: Path, start: int, data: bytes) -> None:
    """Write the end of a file, and drop what follows."""
    fd = os.open(path, os.O_WRONLY | os.O_CREAT, 0o644)
    try:
        os.ftruncate(fd, start)
        if os.pwrite(fd, data, start) < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        os.fsync(fd)
    finally:
        os.close(fd)


def _decode_records(data: bytes) -> Iterator[tuple[int, StreamsBegan]]:
    """Yield the end of each record and its message, up to a damaged one."""
    start = 0
    while start < len(data):
        try:
            (length,) = RECORD_HEAD.unpack_from(data, start)
            start += RECORD_HEAD.size
            message = decode(data[start : start + length], StreamsBegan)
        except (struct.error, WireError):
            # The box lost power while the record was written.
            log.warning("streams not read", extra={"error": "damaged record"})
            return
        start += length
        yield start, message


def _modified(path: Path) -> float:
    """Return when a file was written, in seconds since the Unix epoch; 0 if never."""
    try:
        return path.stat().st_mtime
    except OSError:
        return 0.0
