"""Processes that are suspended: they stand still, and their steady clock with them.

SIGSTOP alone is a freeze: the steady clock goes on, and timers are due at once. Here
the time away is left out of the steady clock before the process goes on, so that its
timers are late by it. CLOCK_BOOTTIME and the time of day count it.
"""

from __future__ import annotations

import asyncio
import signal
import struct
import subprocess
import time
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

SOURCE = Path(__file__).with_name("steady_clock.c")
LEFT_OUT = "LEADSEAM_LEFT_OUT"


class SteadyClock:
    """The steady clock of one process, which can leave time out.

    Args:
        folder: Where the library and the file with the time left out are kept.
        name: Name of the process, unique in the folder.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self._library = build(folder)
        self._file = folder / f"{name}.left-out"
        self._nanos = 0
        self._write()

    @property
    def environment(self) -> dict[str, str]:
        """Variables that a process needs to go by this clock."""
        return {"LD_PRELOAD": str(self._library), LEFT_OUT: str(self._file)}

    async def suspend(
        self, send: Callable[[signal.Signals], None], length: float
    ) -> None:
        """Suspend a process for some seconds.

        Args:
            send: Sends it a signal.
            length: Seconds.
        """
        send(signal.SIGSTOP)
        began = time.monotonic_ns()
        try:
            await asyncio.sleep(length)
        finally:
            self._nanos += time.monotonic_ns() - began
            self._write()
            send(signal.SIGCONT)

    def _write(self) -> None:
        # In place: the process has the file open.
        with open(self._file, "r+b" if self._file.exists() else "wb") as file:
            file.write(struct.pack("=q", self._nanos))


def build(folder: Path) -> Path:
    """Compile the library, once in a folder, and return its path."""
    library = folder / "steady_clock.so"
    if not library.exists():
        command = [
            "cc",
            "-shared",
            "-fPIC",
            "-O2",
            "-o",
            str(library),
            str(SOURCE),
            "-ldl",
        ]
        subprocess.run(command, check=True)
    return library
