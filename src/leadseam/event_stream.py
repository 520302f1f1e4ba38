"""Splits an event stream into complete server-sent events.

Lines end with LF, CR LF or CR, and an empty line ends an event, as in section 9.2 of
the HTML standard.
"""

from __future__ import annotations

import re

MAX_EVENT_SIZE = 1024 * 1024
"""Bytes of an event that are buffered; events hold some tokens each."""

_END = b"\n\n"
_MAX_END_SIZE = 4
_ANY_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
_NO_FIELD = re.compile(rb"(?:(?::[^\r\n]*+)?+(?:\r\n|\n|\r(?!\n)))*+")
"""Complete lines that are empty or comments, and so belong to no event. Possessive, as
a CR LF that is tried in two ways takes exponential time."""


class EventTooLongError(ValueError):
    """An event is longer than `MAX_EVENT_SIZE`."""


class EventSplitter:
    """Buffers bytes and returns complete events with their bytes unchanged.

    Each byte is searched once, however many reads or events it is part of.
    """

    def __init__(self) -> None:
        self._buffer = bytearray()
        # Where an end of an event may begin that was not complete yet.
        self._searched = 0
        self._has_cr = False

    def __repr__(self) -> str:
        return f"EventSplitter(pending={len(self._buffer)})"

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)

    @property
    def unfinished(self) -> int:
        """Number of pending bytes if an event or a line has begun, else 0."""
        return 0 if _NO_FIELD.fullmatch(self._buffer) else len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the events that they complete, each with its empty line.

        Raises:
            EventTooLongError: If the event that has begun is too long.
        """
        if not self._buffer and _is_one_event(data):
            # Fast path: upstreams nearly always send one complete event at a time.
            return [data]
        self._buffer += data
        self._has_cr = self._has_cr or b"\r" in data
        events = []
        begin = 0
        while end := self._end_of_event(max(begin, self._searched)):
            events.append(bytes(self._buffer[begin:end]))
            begin = end
        del self._buffer[:begin]
        self._searched = max(len(self._buffer) - _MAX_END_SIZE, 0)
        if len(self._buffer) > MAX_EVENT_SIZE:
            raise EventTooLongError(f"event of over {MAX_EVENT_SIZE} bytes")
        return events

    def _end_of_event(self, begin: int) -> int:
        if not self._has_cr:
            position = self._buffer.find(_END, begin)
            return position + len(_END) if position >= 0 else 0
        match = _ANY_END.search(self._buffer, begin)
        if match is None:
            return 0
        # The CR may be the first half of a CR LF.
        is_cut = match.end() == len(self._buffer) and self._buffer.endswith(b"\r")
        return 0 if is_cut and b"\n" in match[0] else match.end()


class PassThrough:
    """Returns bytes as they arrive, for a body that is not an event stream."""

    pending = b""
    unfinished = 0

    def feed(self, data: bytes) -> list[bytes]:
        """Return the bytes as they are."""
        return [data] if data else []


def _is_one_event(data: bytes) -> bool:
    return (
        data.endswith(_END)
        and data.find(_END) == len(data) - len(_END)
        and b"\r" not in data
    )
