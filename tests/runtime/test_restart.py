"""Restarts of a program after failures of its disk."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest

from leadseam.errors import StorageDamagedError, StorageError
from leadseam.runtime import restart
from leadseam.runtime.restart import RestartingProgram


@dataclass
class Disk:
    """A disk with injected failures that records the calls of its programs."""

    failing_starts: int = 0
    damaged: bool = False
    calls: list[str] = field(default_factory=list)
    full: asyncio.Event = field(default_factory=asyncio.Event)
    up: asyncio.Event = field(default_factory=asyncio.Event)

    def make(self, after_failure: bool) -> DiskProgram:
        """Create a program on this disk, or fail as configured."""
        self.calls.append("renewed" if after_failure else "made")
        if self.failing_starts:
            self.failing_starts -= 1
            raise StorageError("no space")
        if self.damaged:
            raise StorageDamagedError("broken record")
        return DiskProgram(self)


class DiskProgram:
    """A program that fails once its disk is full."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk

    async def start(self) -> None:
        """Record the call."""
        self._disk.calls.append("started")

    async def run(self) -> None:
        """Serve until the disk is full."""
        self._disk.up.set()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._fail())

    async def drain(self) -> None:
        """Record the call."""
        self._disk.calls.append("drained")

    async def stop(self) -> None:
        """Record the call."""
        self._disk.calls.append("stopped")

    async def _fail(self) -> None:
        await self._disk.full.wait()
        self._disk.full.clear()
        raise StorageError("no space")


@pytest.fixture(autouse=True)
def no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    """Retry without a pause."""
    monkeypatch.setattr(restart, "RETRY_PAUSE", 0)


async def test_a_full_disk_does_not_end_the_process() -> None:
    disk = Disk()
    program = RestartingProgram(disk.make)
    await program.start()
    running = asyncio.create_task(program.run())
    await disk.up.wait()
    disk.up.clear()
    disk.failing_starts = 3
    disk.full.set()
    await disk.up.wait()
    assert disk.calls == ["made", "started", "stopped", *["renewed"] * 4, "started"]
    assert not running.done()
    await program.drain()
    running.cancel()
    await program.stop()
    assert disk.calls[-2:] == ["drained", "stopped"]


async def test_start_is_retried_until_the_disk_works() -> None:
    disk = Disk(failing_starts=2)
    program = RestartingProgram(disk.make)
    await program.start()
    running = asyncio.create_task(program.run())
    await disk.up.wait()
    assert disk.calls == ["made", "renewed", "renewed", "started"]
    running.cancel()


async def test_a_damaged_disk_ends_the_program() -> None:
    with pytest.raises(StorageDamagedError):
        await RestartingProgram(Disk(damaged=True).make).start()
    disk = Disk()
    program = RestartingProgram(disk.make)
    await program.start()
    disk.damaged = True
    disk.full.set()
    with pytest.raises(StorageDamagedError):
        await program.run()


async def test_stop_while_the_disk_fails() -> None:
    program = RestartingProgram(Disk(failing_starts=1).make)
    await program.start()
    await program.drain()
    await program.stop()
