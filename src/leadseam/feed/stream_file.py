"""The files in which a control box keeps the streams that it holds over a restart.

If all entries and control boxes end together, nobody else knows which version began the
streams that callers then resume. Nothing is written while each pool has one version, as
entries tell of no streams then.
"""

from __future__ import annotations

import asyncio
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
        self._used = [path.exists() for path in self._paths]
        self._current = int(_modified(self._paths[1]) > _modified(self._paths[0]))
        self._pending: list[tuple[int, bytes | None]] = []
        self._writing = False
        self._failing = False

    def load(self) -> Iterator[StreamsBegan]:
        """Yield the streams of both generations, each up to a damaged record."""
        for path, used in zip(self._paths, self._used, strict=True):
            try:
                data = path.read_bytes() if used else b""
            except OSError as exc:
                log.warning("streams not read", extra={"error": str(exc)})
                continue
            yield from _decode_records(data)

    def append(self, message: StreamsBegan) -> None:
        """Write streams of the current generation in the background."""
        if len(self._pending) < MAX_PENDING:
            self._used[self._current] = True
            self._write_soon(encode(message))

    def rotate(self) -> None:
        """Begin a generation in place of the one before the current one."""
        self._current = 1 - self._current
        if self._used[self._current]:
            self._used[self._current] = False
            self._write_soon(None)

    def _write_soon(self, record: bytes | None) -> None:
        self._pending.append((self._current, record))
        if not self._writing:
            self._writing = True
            spawn(self._write_pending())

    async def _write_pending(self) -> None:
        while self._pending:
            pending, self._pending = self._pending, []
            try:
                for number, path in enumerate(self._paths):
                    records = [record for which, record in pending if which == number]
                    if records:
                        await asyncio.to_thread(_write, path, records)
                self._failing = False
            except OSError as exc:
                if not self._failing:
                    log.warning("streams not written", extra={"error": str(exc)})
                self._failing = True
            await sleep(SYNC_INTERVAL)
        self._writing = False


def _write(path: Path, records: list[bytes | None]) -> None:
    """Append records to a file; None empties the file first."""
    mode = "ab"
    if None in records:
        mode = "wb"
        last = max(at for at, record in enumerate(records) if record is None)
        records = records[last + 1 :]
    with open(path, mode) as file:
        for record in filter(None, records):
            file.write(RECORD_HEAD.pack(len(record)) + record)
        file.flush()
        os.fsync(file.fileno())


def _decode_records(data: bytes) -> Iterator[StreamsBegan]:
    start = 0
    while start < len(data):
        try:
            (length,) = RECORD_HEAD.unpack_from(data, start)
            start += RECORD_HEAD.size
            yield decode(data[start : start + length], StreamsBegan)
        except (struct.error, WireError):
            # The box lost power while the record was written.
            log.warning("streams not read", extra={"error": "damaged record"})
            return
        start += length


def _modified(path: Path) -> float:
    """Return when a file was written, in seconds since the Unix epoch; 0 if never."""
    try:
        return path.stat().st_mtime
    except OSError:
        return 0.0
