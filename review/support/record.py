"""The record of a run: what was sent, answered and run, with times."""

from __future__ import annotations

import threading
import time
from pathlib import Path


class Record:
    """Writes one line for each event to a file.

    Args:
        path: The file, which is replaced.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Append an event with the time since the start of the run."""
        seconds = time.monotonic() - self._began
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        with self._lock:
            self._file.write(f"{seconds:8.3f} {event} {text}\n")
            self._file.flush()

    def close(self) -> None:
        """Close the file."""
        with self._lock:
            self._file.close()
