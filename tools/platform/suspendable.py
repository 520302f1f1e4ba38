"""Run a program whose steady clock leaves out the time for which it was suspended.

Usage: python -m tools.platform.suspendable FILE PROGRAM ARGUMENT...

PROGRAM is a module of `leadseam.cli`; it gets the arguments.

FILE holds, as eight bytes in the machine's order, the nanoseconds left out so far. The
steady clock of Python and the timers of an event loop go by it; CLOCK_BOOTTIME and the
time of day stay as they are. The loop is Python's own, as others ask the system.
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
"""Bytes of the file."""


def subtract_suspended_time(path: str) -> None:
    """Have the steady clock of this process leave out what a file says."""
    original_ns = time.monotonic_ns
    file = os.open(path, os.O_RDONLY)

    def monotonic_ns() -> int:
        (suspended_ns,) = struct.unpack("=q", os.pread(file, SIZE, 0))
        return original_ns() - int(suspended_ns)

    time.monotonic_ns = monotonic_ns
    time.monotonic = lambda: monotonic_ns() / 1e9


def run_in_selector_loop(main: Main) -> int:
    """Run a program in Python's event loop, and return its exit code."""
    with asyncio.Runner(loop_factory=asyncio.SelectorEventLoop) as runner:
        return runner.run(main)


if __name__ == "__main__":
    subtract_suspended_time(sys.argv.pop(1))
    # Later than the clock, which what it imports may keep.
    from leadseam.runtime import process

    program = importlib.import_module(f"leadseam.cli.{sys.argv.pop(1)}")
    vars(program)["run_in_uvloop"] = run_in_selector_loop
    defaults = process.run_program.__kwdefaults__
    assert defaults is not None
    defaults["run"] = run_in_selector_loop
    program.main()
