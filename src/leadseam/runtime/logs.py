"""JSON log lines on standard error, through the standard library."""

from __future__ import annotations

import json
import logging
import sys

_STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


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
        line.update({key: value for key, value in extra if key not in _STANDARD})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logs(node: str, *, level: str = "info") -> None:
    """Send all log lines to standard error.

    Args:
        node: Name of the process.
        level: Lowest level to write. Defaults to "info".
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(node))
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
    for noisy in ("websockets", "aiohttp.access", "grpclib"):
        logging.getLogger(noisy).setLevel(logging.CRITICAL)
