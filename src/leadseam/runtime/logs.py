"""JSON log lines on standard output, written with the standard `logging` module.

A line that cannot be written at once is dropped and counted: a slow reader must not
block requests.
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
"""Log lines on single requests that a process may write per second. At 300 bytes and
60 us a line, that is 30 KB/s and 0.006 cores. Above the limit, the metrics still count
requests by outcome."""

_STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}


class JsonFormatter(logging.Formatter):
    """Formats a log record as one JSON object.

    Args:
        node: Name of the process, added to each line.
    """

    def __init__(self, node: str) -> None:
        super().__init__()
        self._node = node

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as a JSON line, with the fields passed as `extra`."""
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
    """Writes lines to a file descriptor and drops those that would block.

    Args:
        fd: File descriptor; it is switched to non-blocking mode.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self.dropped = 0
        self._fd = fd
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        data = self.format(record).encode() + b"\n"
        try:
            written = os.write(self._fd, data)
        except OSError:
            # Standard output is the only log, so the loss is only counted.
            self.dropped += 1
            return
        if written < len(data):
            self.dropped += 1


class LogLineLimiter:
    """Limits how many log lines single requests cause per second.

    Args:
        clock: Source of time.
        rate: Lines per second. Defaults to `MAX_LINES_PER_SECOND`.
    """

    def __init__(self, clock: Clock, *, rate: int = MAX_LINES_PER_SECOND) -> None:
        self.suppressed = 0
        self._clock = clock
        self._rate = rate
        self._remaining = rate
        self._second: Millis = -1

    def take(self) -> bool:
        """Take one line from this second's allowance; return False if none is left."""
        second = self._clock.now() // 1_000
        if second != self._second:
            self._second = second
            self._remaining = self._rate
        if self._remaining <= 0:
            self.suppressed += 1
            return False
        self._remaining -= 1
        return True


def count_dropped_lines() -> int:
    """Return how many lines were dropped because standard output was not writable."""
    handlers = logging.getLogger().handlers
    return sum(one.dropped for one in handlers if isinstance(one, DroppingHandler))


def configure_logs(node: str, *, level: str = "info") -> None:
    """Configure logging to standard output for the whole process.

    Args:
        node: Name of the process.
        level: Lowest level to log. Defaults to "info".
    """
    handler = DroppingHandler(sys.stdout.fileno())
    handler.setFormatter(JsonFormatter(node))
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    for noisy in ("websockets", "aiohttp.access", "grpclib"):
        logging.getLogger(noisy).setLevel(logging.CRITICAL)
