"""Suspension of processes together with their monotonic clock.

SIGSTOP alone stops a process but not its monotonic clock, so timers are due at once
after SIGCONT. Here the suspended time is subtracted from the monotonic clock before the
process continues, so that its timers fire late by that time, as after the suspension of
a box. CLOCK_BOOTTIME and the time of day include it.
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
    """Suspends processes and subtracts that time from their monotonic clock.

    Args:
        file: File from which the processes read the time to subtract; see `MODULE`.
    """

    def __init__(self, file: Path) -> None:
        self.file = file
        self._suspended_ns = 0
        self._active_suspensions = 0
        self._began_ns = 0
        self._write()

    async def suspend(self, process: Popen[bytes], length: float) -> None:
        """Suspend a process for some seconds; suspensions may overlap.

        If the process is killed meanwhile, its successor is not affected.
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
        # Written in place, as the process has the file open.

        with open(self.file, "r+b" if self.file.exists() else "wb") as file:
            file.write(struct.pack("=q", self._suspended_ns))
