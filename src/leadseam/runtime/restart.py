"""Runs a program anew, in the same process, once its disk takes writes again.

A process that ends on a full disk is started again at once, reads the disk, fails and
ends: three times in 3.6 s, as seen on a control box. Here the process stays and serves
nothing meanwhile, so that callers and peers are refused at once and go on to another.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Millis, sleep
from leadseam.errors import StorageDamagedError, StorageError

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.runtime.process import Program

RETRY_PAUSE: Millis = 500
"""Pause between two looks at a disk that failed: a look rewrites what the box holds,
some 10 KB at today's sizes, and an operator frees space in minutes."""

log = logging.getLogger(__name__)


class RestartingProgram:
    """A program that outlives faults of its disk.

    A disk whose content is damaged is no such fault: that needs an operator, so it ends
    the program as before.

    Args:
        make: Builds the program anew. It is told whether a write has failed before, so
            that the disk has to take what it holds once more.
    """

    def __init__(self, factory: Callable[[bool], Program]) -> None:
        self._factory = factory
        self._program: Program | None = None

    def __repr__(self) -> str:
        return f"RestartingProgram(up={self._program is not None})"

    async def start(self) -> None:
        """Start the program; with a disk that fails, `run` goes on trying."""
        try:
            await self._start_program(after_failure=False)
        except StorageDamagedError:
            raise
        except StorageError as exc:
            _log_failure(exc)

    async def run(self) -> None:
        """Serve until cancelled, or until the program ends by itself."""
        while True:
            if self._program is None:
                await self._restart_until_started()
            if await self._run_to_completion():
                return

    async def drain(self) -> None:
        """Finish what is in flight, if anything is."""
        if self._program is not None:
            await self._program.drain()

    async def stop(self) -> None:
        """Release everything that is held."""
        program, self._program = self._program, None
        if program is not None:
            await program.stop()

    async def _start_program(self, *, after_failure: bool) -> None:
        program = self._factory(after_failure)
        await program.start()
        self._program = program

    async def _restart_until_started(self) -> None:
        while self._program is None:
            await sleep(RETRY_PAUSE)
            try:
                await self._start_program(after_failure=True)
            except StorageDamagedError:
                raise
            except StorageError as exc:
                log.debug("disk fails still", extra={"error": exc.message})
        log.info("disk takes writes again")

    async def _run_to_completion(self) -> bool:
        """Run the program; return False if its disk failed."""
        assert self._program is not None
        failed: list[StorageError] = []
        try:
            await self._program.run()
        except* StorageError as group:
            failed += [exc for exc in group.exceptions if isinstance(exc, StorageError)]
        if not failed:
            return True
        _log_failure(failed[0])
        await self.stop()
        return False


def _log_failure(exc: StorageError) -> None:
    extra = {"code": exc.code, "error": exc.message}
    log.error("disk failed; nothing is served until it takes writes", extra=extra)
