"""Memory and descriptors of a process, as the kernel counts them."""

from __future__ import annotations

import os
from pathlib import Path

BYTES_PER_KIB = 1_024


def peak_memory(pid: int) -> int:
    """Return the highest resident memory that a process has had, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * BYTES_PER_KIB
    raise ProcessLookupError(pid)


def resident_memory(pid: int) -> int:
    """Return the resident memory of a process, in bytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def open_sockets(pid: int) -> int:
    """Return the number of sockets and pipes that a process has open."""
    count = 0
    for entry in os.scandir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(entry.path)
        except FileNotFoundError:
            continue
        count += target.startswith(("socket:", "pipe:"))
    return count
