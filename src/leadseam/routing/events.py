"""Splits an event stream into whole events."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Args:
        data: Its bytes, with the empty line that ends it.
        identity: Value of its `id` line, or None.
    """

    data: bytes
    identity: str | None


class EventSplitter:
    """Collects bytes and gives out whole events, byte for byte."""

    def __init__(self) -> None:
        self._buffer = b""

    def __repr__(self) -> str:
        return f"EventSplitter(pending={len(self._buffer)})"

    @property
    def pending(self) -> bytes:
        """Bytes of an event that has not ended yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they complete."""
        self._buffer += data
        events = []
        while (end := self._end_of_event()) > 0:
            block, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(block, _identity(block)))
        return events

    def _end_of_event(self) -> int:
        ends = [
            position + len(mark)
            for mark in (b"\n\n", b"\r\n\r\n")
            if (position := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=0)


def _identity(block: bytes) -> str | None:
    for line in block.splitlines():
        if line.startswith(b"id:"):
            return line[3:].strip().decode("latin-1")
    return None
