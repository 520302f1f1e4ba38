"""Run a program whose monotonic clock leaves out the time that it was suspended.

Usage: python -m tools.platform.suspendable FILE PROGRAM ARGUMENT...

PROGRAM is a module of `leadseam.cli`; it gets the arguments.

FILE holds the nanoseconds of all suspensions so far, as eight bytes in native byte
order. They are subtracted from Python's monotonic clock, which also drives the timers
of the event loop; CLOCK_BOOTTIME and the time of day are unchanged. The program runs in
asyncio's selector loop, as other loops read the system's clock directly.
"""

from __future__ import annotations

import asyncio
import importlib
import os
import struct
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.runtime.loop import Main

SIZE = 8
"""Size of the file in bytes."""


def subtract_suspended_time(path: str) -> None:
    """Subtract the time in a file from the monotonic clock of this process."""
    original_ns = time.monotonic_ns
    file = os.open(path, os.O_RDONLY)

    def monotonic_ns() -> int:
        suspended = os.pread(file, SIZE, 0)
        while True:
            now, before = original_ns(), suspended
            suspended = os.pread(file, SIZE, 0)
            if suspended == before:
                (suspended_ns,) = struct.unpack("=q", suspended)
                return now - int(suspended_ns)
            # The process was suspended between the readings, which do not fit together.

    time.monotonic_ns = monotonic_ns
    time.monotonic = lambda: monotonic_ns() / 1e9


def run_in_selector_loop(main: Main) -> int:
    """Run a program in asyncio's selector loop, and return its exit code."""
    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        return runner.run(main)


if __name__ == "__main__":
    subtract_suspended_time(sys.argv.pop(1))
    # Imported after the clock is patched, as modules may keep a reference to it.

    from leadseam.runtime import process

    program = importlib.import_module(f"leadseam.cli.{sys.argv.pop(1)}")
    vars(program)["run_in_uvloop"] = run_in_selector_loop
    defaults = process.run_program.__kwdefaults__
    assert defaults is not None
    defaults["run"] = run_in_selector_loop
    program.main()
