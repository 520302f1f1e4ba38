"""Checks that the events of a stream are those of its run, each once and in order.

A sound frame says nothing of what it holds: an upstream may write other bytes where an
event was due, leave out or repeat events, and still end the stream as complete. Where
events are numbered, the number shows which event is due. No I/O.

Fields are those of section 9.2 of the HTML standard, and any that the wire format adds.
"""

from __future__ import annotations

import json
import re
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from leadseam.event_stream import MAX_EVENT_SIZE, EventSplitter, EventTooLongError

STANDARD_FIELDS = frozenset({"data", "event", "id", "retry"})
COUNTED_FROM = (0, 1)
"""Ids of a first event that show that a stream counts its events, if nothing states it.
Other ids may be times or offsets."""
MAX_DIGITS = 18
"""Digits of an event's number; one with more would not fit into 64 bits."""
MAX_LOGGED_BYTES = 64
"""Bytes of a spoilt event in a log line."""

_PLAIN_EVENT = re.compile(rb"id: (0|[1-9][0-9]{0,17})\ndata: [ -~]*\n\n")
"""The form that nearly all events have: a number and one line of ASCII data."""
_PLAIN_OBJECT = re.compile(rb"data: (\{[ -~]*\})\n\n")
"""The form that nearly all events have whose data are JSON objects."""
_JSON_OBJECT = msgspec.json.Decoder(dict[str, msgspec.Raw])
_NUMBER = re.compile(rf"0|[1-9][0-9]{{0,{MAX_DIGITS - 1}}}")
_LINE_END = re.compile(r"\r\n|\n|\r")
_BYTE_ORDER_MARK = "\ufeff"


class EventFault(StrEnum):
    """Why a block of a stream is not the event that is due.

    `MALFORMED`: it is not UTF-8, or has a line that is no known field. `NO_ID`,
    `INVALID_ID`, `SEVERAL_IDS`: no `id` field, one that is no plain number, more than
    one. `NO_DATA`: no `data` field. `REPEATED`: the number of an earlier event.
    `SKIPPED`: a number beyond the one that is due. `NO_EVENT`: the stream ended before
    its first event. `INVALID_DATA`: data that is no JSON object, where it has to be
    one. `AFTER_END`: it follows the event that ends the stream.
    """

    MALFORMED = "malformed"
    NO_ID = "no_id"
    INVALID_ID = "invalid_id"
    SEVERAL_IDS = "several_ids"
    NO_DATA = "no_data"
    REPEATED = "repeated"
    SKIPPED = "skipped"
    NO_EVENT = "no_event"
    INVALID_DATA = "invalid_data"
    AFTER_END = "after_end"


@dataclass(frozen=True, slots=True)
class EventFormat:
    """How upstreams write the events of a stream.

    Args:
        first: Number of the first event of a stream. If it is None, ids may be any
            text; a stream whose first event has one of `COUNTED_FROM` counts them.
        counters: Names of further fields that an event may have, whose values are
            whole numbers.
        closing: Data of the event that ends a stream, whose other events hold JSON
            objects; empty if there is none, and events hold any text.
    """

    first: int | None = None
    counters: frozenset[str] = frozenset()
    closing: str = ""


@dataclass(frozen=True, slots=True)
class SpoiltEvent:
    """A block of a stream that its run has not made.

    Args:
        fault: What is wrong with it.
        due: Number that was due, or None if any was.
        received: Its first bytes, at most `MAX_LOGGED_BYTES`.
    """

    fault: EventFault
    due: int | None
    received: bytes

    def log_fields(self) -> dict[str, object]:
        """Return the fields that describe the event in a log line."""
        return {
            "spoilt": self.fault.value,
            "due": self.due,
            "received": repr(self.received)[2:-1],
        }


class EventSequence:
    """Position in a stream, from event to event, whichever upstreams send it.

    Args:
        fmt: How upstreams write events.
        resume_after: Id of the last event that the caller has, or None.

    Attributes:
        last_id: Id of the last event, or None.
        is_closed: Whether the event that ends the stream has come.
    """

    def __init__(self, fmt: EventFormat, *, resume_after: str | None = None) -> None:
        # An empty id names no event.
        self.last_id = resume_after or None
        self._fmt = fmt
        self._due = fmt.first
        self._is_numbered = fmt.first is not None
        self._is_first = True
        self.is_closed = False
        self._may_have_mark = self.last_id is None
        if resume_after:
            number = _parse_number(resume_after)
            self._due = None if number is None else number + 1
            self._is_numbered = self._is_numbered or number is not None

    def __repr__(self) -> str:
        return f"EventSequence(last_id={self.last_id!r}, due={self._due})"

    def advance(self, block: bytes) -> SpoiltEvent | None:
        """Advance by a complete event. A block of comments is no event.

        Args:
            block: Bytes of the event, including the empty line that ends it.

        Returns:
            What is wrong with it, or None if it is the event that is due.
        """
        if self._is_plain_object(block):
            return None
        plain = _PLAIN_EVENT.fullmatch(block) if not self._fmt.closing else None
        if plain is not None and (number := int(plain[1])) == self._due:
            self._is_first = False
            self.last_id = plain[1].decode()
            self._due = number + 1
            return None
        due = self._due
        fault = self._read(block)
        if fault is None:
            return None
        return SpoiltEvent(fault, due, block[:MAX_LOGGED_BYTES])

    def finish(self) -> SpoiltEvent | None:
        """Return what is wrong with a stream that ends here, or None."""
        if self._is_first and self.last_id is None and self._fmt.first is not None:
            return SpoiltEvent(EventFault.NO_EVENT, self._due, b"")
        return None

    def _is_plain_object(self, block: bytes) -> bool:
        """Advance by an event without a number whose data are a JSON object.

        Returns:
            Whether it is one in the form that nearly all have.
        """
        if not self._fmt.closing or self._is_numbered or self.is_closed:
            return False
        plain = _PLAIN_OBJECT.fullmatch(block)
        if plain is None or not _is_object(plain[1]):
            return False
        self._is_first = False
        return True

    def _read(self, block: bytes) -> EventFault | None:
        """Advance by an event of any form, or return what is wrong with it."""
        try:
            text = block.decode()
        except UnicodeDecodeError:
            return EventFault.MALFORMED
        if self._may_have_mark and self._is_first:
            self._may_have_mark = False
            text = text.removeprefix(_BYTE_ORDER_MARK)
        ids = []
        data = []
        names = set()
        for line in filter(None, _LINE_END.split(text)):
            name, _, value = line.partition(":")
            if not name:
                continue
            value = value.removeprefix(" ")
            names.add(name)
            if name == "id":
                ids.append(value)
            elif name == "data":
                data.append(value)
            elif not self._may_have(name, value):
                return EventFault.MALFORMED
        if names <= {"retry"}:
            return None
        if self._fmt.closing and (fault := self._read_data(data)):
            return fault
        return self._accept(ids, has_data=bool(data))

    def _read_data(self, lines: list[str]) -> EventFault | None:
        if self.is_closed:
            return EventFault.AFTER_END
        if not lines:
            return EventFault.NO_DATA
        data = "\n".join(lines)
        self.is_closed = data == self._fmt.closing
        if self.is_closed:
            return None
        return None if _is_object(data) else EventFault.INVALID_DATA

    def _may_have(self, name: str, value: str) -> bool:
        if name in STANDARD_FIELDS:
            return True
        return name in self._fmt.counters and _parse_number(value) is not None

    def _accept(self, ids: list[str], *, has_data: bool) -> EventFault | None:
        number = _parse_number(ids[0]) if ids else None
        if self._is_first and self._fmt.first is None and self._due is None:
            self._is_numbered = number in COUNTED_FROM
        if self._is_numbered:
            if fault := self._number_fault(ids, number, has_data=has_data):
                return fault
            assert number is not None
            self._due = number + 1
        self._is_first = False
        if ids:
            self.last_id = ids[-1]
        return None

    def _number_fault(
        self, ids: list[str], number: int | None, *, has_data: bool
    ) -> EventFault | None:
        if not ids:
            return EventFault.NO_ID
        if len(ids) > 1:
            return EventFault.SEVERAL_IDS
        if number is None:
            return EventFault.INVALID_ID
        if not has_data:
            return EventFault.NO_DATA
        if self._due is None or number == self._due:
            return None
        return EventFault.REPEATED if number < self._due else EventFault.SKIPPED


class EventReader:
    """Splits a stream into events and returns the sound ones.

    Args:
        sequence: Position in the stream.

    Attributes:
        spoilt: The event that was not the one due, or None. Nothing is returned from
            then on.
        closing: The event that ends the stream, which is held back until the answer has
            ended, as nothing may follow it.
    """

    def __init__(self, sequence: EventSequence) -> None:
        self.spoilt: SpoiltEvent | None = None
        self.closing = b""
        self._sequence = sequence
        self._splitter = EventSplitter()

    def __repr__(self) -> str:
        return f"EventReader({self._sequence!r}, spoilt={self.spoilt!r})"

    @property
    def last_id(self) -> str | None:
        """Id of the last event returned, or None."""
        return self._sequence.last_id

    @property
    def pending(self) -> bytes:
        """Bytes after the last complete event."""
        return self._splitter.pending

    @property
    def unfinished(self) -> int:
        """Number of pending bytes if an event or a line has begun, else 0."""
        return self._splitter.unfinished

    def feed(self, data: bytes) -> list[bytes]:
        """Add bytes and return the sound events that they complete.

        Raises:
            EventTooLongError: If the event that has begun is too long, or the closing
                event with the comments behind it.
        """
        if self.spoilt is not None:
            return []
        blocks = self._splitter.feed(data)
        for position, block in enumerate(blocks):
            self.spoilt = self._sequence.advance(block)
            if self.spoilt is not None:
                return blocks[:position]
            if self._sequence.is_closed:
                self._hold(block)
                blocks[position] = b""
        return blocks

    def _hold(self, block: bytes) -> None:
        self.closing += block
        if len(self.closing) > MAX_EVENT_SIZE:
            raise EventTooLongError(f"{len(self.closing)} bytes behind the last event")

    def finish(self) -> None:
        """Note the end of the answer; a stream that begins has at least one event."""
        if self.spoilt is None:
            self.spoilt = self._sequence.finish()


def _is_object(data: str | bytes) -> bool:
    try:
        _JSON_OBJECT.decode(data)
    except RecursionError:
        return False
    except msgspec.DecodeError:
        # Engines may also write unpaired surrogates as escapes, and NaN.
        with suppress(ValueError, RecursionError):
            return isinstance(json.loads(data), dict)
        return False
    return True


def _parse_number(value: str) -> int | None:
    return int(value) if _NUMBER.fullmatch(value) else None
