"""Collects rows about connections into messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.wire.handover import ConnectionRow, ConnectionRows

if TYPE_CHECKING:
    from leadseam.wire.link import Link

MAX_ROWS = 500
"""Rows above which a message is sent at once."""


class RowSender:
    """Sends the rows of one link, several in each message.

    Args:
        link: The link.
        delay_s: Seconds for which rows are collected; 0 for the rest of an iteration of
            the event loop.
    """

    def __init__(self, link: Link, *, delay_s: float = 0.0) -> None:
        self._link = link
        self._delay_s = delay_s
        self._rows: list[ConnectionRow] = []
        self._timer: asyncio.Handle | None = None

    def __repr__(self) -> str:
        return f"RowSender({self._link!r}, rows={len(self._rows)})"

    def add(self, row: ConnectionRow) -> None:
        """Add a row."""
        self._rows.append(row)
        if len(self._rows) >= MAX_ROWS:
            self.flush()
        elif self._timer is None:
            loop = asyncio.get_running_loop()
            if self._delay_s:
                self._timer = loop.call_later(self._delay_s, self.flush)
            else:
                self._timer = loop.call_soon(self.flush)

    def flush(self) -> None:
        """Send the rows that were added."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._rows:
            rows, self._rows = tuple(self._rows), []
            self._link.send(ConnectionRows(rows))

    def stop(self) -> None:
        """Drop what has not been sent, as the link has ended."""
        self._rows.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
