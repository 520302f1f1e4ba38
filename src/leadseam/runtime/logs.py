"""JSON log lines on standard output, through the standard library.

A line that cannot be written at once is dropped and counted: a reader that is slow must
not hold up requests.
"""

from __future__ import annotations

import logging
import os
import sys
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from leadseam.clock import Clock, Millis

MAX_LINES_PER_SECOND = 100
"""Lines on single requests that a process may write in a second. At 300 bytes and 60 us
a line that is 30 KB/s and 0.006 cores; beyond it the counters still tell how many
requests ended how."""

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class JsonFormatter(logging.Formatter):
    """Format a record as one JSON object.

    Args:
        node: Name of the process, put on each line.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return the line for a record, with the fields passed as `extra`."""
        line = {
            "time": round(record.created * 1_000),
            "level": record.levelname.lower(),
            "node": self._node,
            "logger": record.name,
            "message": record.getMessage(),
        }
        extra = vars(record).items()
        line.update(
            {key: value for key, value in extra if key not in _STANDARD_ATTRIBUTES}
        )
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


class DroppingHandler(logging.Handler):
    """Writes lines to a descriptor and drops those that would have to wait.

    Args:
        fd: The descriptor; it is switched to non-blocking.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line."""
        data = self.format(record).encode() + b"\n"
        try:
            written = os.write(self._fd, data)
        except OSError:
            # Nowhere is left to tell it, but the count.
            self.dropped += 1
            return
        if written < len(data):
            self.dropped += 1


class LogLineLimiter:
    """Bounds the lines that single requests cause.

    Args:
        clock: Source of time.
        rate: Lines a second. Defaults to `LINES_PER_SECOND`.
    """

    def __init__(self, clock: Clock, *, rate: int = MAX_LINES_PER_SECOND) -> None:
        self.suppressed = 0
        self._clock = clock
        self._rate = rate
        self._left = rate
        self._second: Millis = -1

    def take(self) -> bool:
        """Use one line of this second, if one is left."""
        second = self._clock.now() // 1_000
        if second != self._second:
            self._second = second
            self._left = self._rate
        if self._left <= 0:
            self.suppressed += 1
            return False
        self._left -= 1
        return True


def count_dropped_lines() -> int:
    """Return the lines that standard output could not take."""
    handlers = logging.getLogger().handlers
    return sum(one.dropped for one in handlers if isinstance(one, DroppingHandler))


def configure_logs(node: str, *, level: str = "info") -> None:
    """Send all log lines to standard output.

    Args:
        node: Name of the process.
        level: Lowest level to write. Defaults to "info".
    """
    handler = DroppingHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(node))
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    for noisy in ("websockets", "aiohttp.access", "grpclib"):
        logging.getLogger(noisy).setLevel(logging.CRITICAL)
