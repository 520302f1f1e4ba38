"""One process of a fleet on loopback."""

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
    """One process of the fleet.

    Args:
        name: Its name.
        program: Module of `leadseam.cli`.
        settings: Its settings.
        ports: Ports that it binds.
        admin: Port of its admin routes, or 0.
        folder: Where its files are.
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
        """Process id."""
        assert self.process is not None
        return self.process.pid

    @property
    def log(self) -> Path:
        """File with its log lines."""
        return self.folder / f"{self.name}.log"

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        self.process.send_signal(number)

    def kill(self) -> None:
        """End the process without warning."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def wait_exit(self) -> int:
        """Wait until the process has ended and return its exit code."""
        process = self.process
        assert process is not None
        code = await asyncio.to_thread(process.wait)
        self.process = None
        return code
