"""The file of the versions in service."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.membership.version_file import FILE_NAME, VersionFile
from leadseam.wire.versions import VersionRow
from tools.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

ROWS = (VersionRow("p", "v1", 7), VersionRow("p", "v2"))


async def test_the_rows_stored_last_are_read_again(tmp_path: Path) -> None:
    file = VersionFile(tmp_path)
    assert file.load() is None
    file.store(ROWS[:1])
    file.store(ROWS)

    async def written() -> bool:
        return VersionFile(tmp_path).load() == ROWS

    await wait_until(written, "the rows are written")


def test_a_missing_or_torn_file_is_not_taken_for_a_fleet_without_versions(
    tmp_path: Path,
) -> None:
    file = VersionFile(tmp_path)
    assert file.load() is None
    file.create()
    assert file.load() == ()
    (tmp_path / FILE_NAME).write_bytes(b"torn")
    assert file.load() is None


async def test_a_file_that_cannot_be_written_ends_nothing(tmp_path: Path) -> None:
    file = VersionFile(tmp_path / "missing")
    file.create()
    file.store(ROWS)
    await asyncio.sleep(0.05)
    assert file.load() is None
