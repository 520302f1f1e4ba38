"""One process of a fleet on the loopback address."""

from __future__ import annotations

import asyncio
import subprocess
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import signal
    from pathlib import Path


@dataclass(slots=True)
class Node:
    """One process of a fleet.

    Args:
        name: Name of the process.
        program: Module of `leadseam.cli` that it runs.
        settings: Its settings, which are written as YAML.
        ports: Ports that it binds.
        admin: Port of its admin routes, or 0.
        folder: Folder of its settings and log.
        process: The running process, or None.
    """

    name: str
    program: str
    settings: dict[str, Any]
    ports: list[int]
    admin: int
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    extra: list[str] = field(default_factory=list)

    @property
    def pid(self) -> int:
        """Id of the running process."""
        assert self.process is not None
        return self.process.pid

    @property
    def log(self) -> Path:
        """Path of its log file."""
        return self.folder / f"{self.name}.log"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, if it runs, and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def wait_exit(self) -> int:
        """Wait until the process has ended; return its exit code."""
        process = self.process
        assert process is not None
        code = await asyncio.to_thread(process.wait)
        self.process = None
        return code
