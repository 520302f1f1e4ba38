"""Restarts a program within the same process once its disk accepts writes again.

If the process exited on a full disk, it would be started again at once, read the disk,
fail and exit: three times in 3.6 s, as seen on a control box. Instead the process keeps
running and serves nothing meanwhile, so that callers and peers are refused at once and
fail over to another replica.
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
"""Pause between two attempts to start on a failed disk. An attempt rewrites the stored
state, some 10 KB at today's sizes, and an operator needs minutes to free space."""

log = logging.getLogger(__name__)


class RestartingProgram:
    """Program that survives write failures of its disk.

    Damaged data on the disk still ends the program, since it needs an operator.

    Args:
        factory: Creates a new instance of the program. Its argument is True after a
            write has failed; the program must then rewrite its stored state, to check
            that the disk accepts writes.
    """

    def __init__(self, factory: Callable[[bool], Program]) -> None:
        self._factory = factory
        self._program: Program | None = None

    def __repr__(self) -> str:
        return f"RestartingProgram(up={self._program is not None})"

    async def start(self) -> None:
        """Start the program; if the disk fails, `run` retries."""
        try:
            await self._start_program(after_failure=False)
        except StorageDamagedError:
            raise
        except StorageError as exc:
            _log_failure(exc)

    async def run(self) -> None:
        """Serve until cancelled or until the program ends without a disk failure."""
        while True:
            if self._program is None:
                await self._restart_until_started()
            if await self._run_to_completion():
                return

    async def drain(self) -> None:
        """Drain the program if it is running."""
        if self._program is not None:
            await self._program.drain()

    async def stop(self) -> None:
        """Stop the program if it is running."""
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
                log.debug("disk is still failing", extra={"error": exc.message})
        log.info("disk takes writes again")

    async def _run_to_completion(self) -> bool:
        """Run the program; return False if it was stopped by a failure of its disk."""
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
