"""Splits an event stream into complete server-sent events."""

from __future__ import annotations

from dataclasses import dataclass

_END = b"\n\n"


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Args:
        data: Its bytes, including the empty line that ends it.
        event_id: Value of its `id` line, or None.
    """

    data: bytes
    event_id: str | None


class EventSplitter:
    """Buffers bytes and returns complete events with their bytes unchanged."""

    def __init__(self) -> None:
        self._buffer = b""

    def __repr__(self) -> str:
        return f"EventSplitter(pending={len(self._buffer)})"

    @property
    def pending(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return self._buffer

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete."""
        if not self._buffer and _is_one_event(data):
            # Fast path: upstreams nearly always send one complete event at a time.
            return [Event(data, _event_id(data))]
        self._buffer += data
        events = []
        while (end := self._end_of_event()) > 0:
            block, self._buffer = self._buffer[:end], self._buffer[end:]
            events.append(Event(block, _event_id(block)))
        return events

    def _end_of_event(self) -> int:
        ends = [
            position + len(terminator)
            for terminator in (_END, b"\r\n\r\n")
            if (position := self._buffer.find(terminator)) >= 0
        ]
        return min(ends, default=0)


class PassThrough:
    """Returns bytes as they arrive, for a body that is not an event stream."""

    pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Return the bytes as one event without an id to resume from."""
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
