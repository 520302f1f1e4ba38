"""Output of a process that aborts."""

from __future__ import annotations

import signal
import subprocess
import sys

ABORTING = """
import os
from leadseam.runtime.process import run_program

class Aborting:
    async def start(self): pass
    async def run(self): os.abort()
    async def drain(self): pass
    async def stop(self): pass

run_program("node-1", Aborting, level="info")
"""


def test_an_abort_within_a_library_prints_its_stack() -> None:
    """An event loop that polls a closed descriptor aborts, and once left no message."""
    ended = subprocess.run(
        [sys.executable, "-c", ABORTING], capture_output=True, check=False
    )
    assert ended.returncode == -signal.SIGABRT
    assert b"Fatal Python error: Aborted" in ended.stderr
    assert b"in run\n" in ended.stderr
