"""Processes that are suspended: they stand still, and their steady clock with them.

SIGSTOP alone is a freeze: the steady clock goes on, and timers are due at once. Here
the time away is left out of the steady clock before the process goes on, so that its
timers are late by it. CLOCK_BOOTTIME and the time of day count it.
"""

from __future__ import annotations

import asyncio
import signal
import struct
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path
    from subprocess import Popen

MODULE = "tools.platform.suspendable"


class SuspendableClock:
    """The steady clock of one process, which can leave time out.

    Args:
        file: Where the process reads the time left out; see `MODULE`.
    """

    def __init__(self, file: Path) -> None:
        self.file = file
        self._suspended_ns = 0
        self._active_suspensions = 0
        self._began_ns = 0
        self._write()

    async def suspend(self, process: Popen[bytes], length: float) -> None:
        """Suspend a process for some seconds; one may begin before another is over.

        A process that is killed meanwhile takes nothing over to the next one.
        """
        self._active_suspensions += 1
        process.send_signal(signal.SIGSTOP)
        if self._active_suspensions == 1:
            self._began_ns = time.monotonic_ns()
        try:
            await asyncio.sleep(length)
        finally:
            self._active_suspensions -= 1
            if not self._active_suspensions and process.poll() is None:
                self._suspended_ns += time.monotonic_ns() - self._began_ns
                self._write()
            if not self._active_suspensions:
                process.send_signal(signal.SIGCONT)

    def _write(self) -> None:
        # In place: the process has the file open.
        with open(self.file, "r+b" if self.file.exists() else "wb") as file:
            file.write(struct.pack("=q", self._suspended_ns))
