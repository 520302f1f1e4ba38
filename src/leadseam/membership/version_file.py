"""The file in which a control box keeps the versions in service over a restart."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from leadseam.control.storage import write_synced
from leadseam.errors import WireError
from leadseam.runtime.tasks import spawn
from leadseam.wire.codec import decode, encode
from leadseam.wire.versions import VersionRow

if TYPE_CHECKING:
    from pathlib import Path

FILE_NAME = "versions.cbor"

log = logging.getLogger(__name__)


class VersionFile:
    """A file that holds the last stored rows.

    Args:
        folder: Data folder of the box.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._pending: tuple[VersionRow, ...] | None = None
        self._writing = False

    def create(self) -> None:
        """Store no rows at the first start of a fleet, before any stream began.

        Without a file, streams may have begun at versions that nobody knows.
        """
        try:
            write_synced(self._folder / FILE_NAME, encode(()))
        except OSError as exc:
            log.warning("versions not written", extra={"error": str(exc)})

    def load(self) -> tuple[VersionRow, ...] | None:
        """Return the stored rows, or None if none can be read."""
        path = self._folder / FILE_NAME
        try:
            return decode(path.read_bytes(), tuple[VersionRow, ...])
        except FileNotFoundError:
            return None
        except (OSError, WireError) as exc:
            log.warning("versions not read", extra={"error": str(exc)})
            return None

    def store(self, rows: tuple[VersionRow, ...]) -> None:
        """Write rows in the background; the last ones win."""
        self._pending = rows
        if not self._writing:
            self._writing = True
            spawn(self._write_pending())

    async def _write_pending(self) -> None:
        while self._pending is not None:
            rows, self._pending = self._pending, None
            try:
                path = self._folder / FILE_NAME
                await asyncio.to_thread(write_synced, path, encode(rows))
            except OSError as exc:
                log.warning("versions not written", extra={"error": str(exc)})
        self._writing = False
