"""Splits an event stream into whole events."""

from __future__ import annotations

from dataclasses import dataclass

_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    Args:
        data: Its bytes, with the empty line that ends it.
        event_id: Value of its `id` line, or None.
    """

    data: bytes
    event_id: str | None


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
        if not self._buffer and _is_one_event(data):
            # One whole event at a time is what upstreams send nearly always.
            return [Event(data, _event_id(data))]
        self._buffer += data
        events = []
        while (end := self._end_of_event()) > 0:
            block, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(block, _event_id(block)))
        return events

    def _end_of_event(self) -> int:
        ends = [
            position + len(mark)
            for mark in (_END, b"\r\n\r\n")
            if (position := self._buffer.find(mark)) >= 0
        ]
        return min(ends, default=0)


class PassThrough:
    """Gives out bytes as they come: a body that is no sequence of events."""

    pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return them, with no identity to go on from."""
        return [Event(data, None)] if data else []


def _is_one_event(data: bytes) -> bool:
    return (
        data.endswith(_END)
        and data.find(_END) == len(data) - len(_END)
        and b"\r" not in data
    )


def _event_id(block: bytes) -> str | None:
    start = 0 if block.startswith(b"id:") else block.find(b"\nid:") + 1
    if start == 0 and not block.startswith(b"id:"):
        return None
    value = block[start + 3 :].split(b"\n", 1)[0]
    return value.strip().decode("latin-1")
