"""Measures the service of a response while it is streamed. No I/O."""

from __future__ import annotations

from typing import Annotated, Protocol

import msgspec
from msgspec import Meta

from leadseam.clock import Millis
from leadseam.fairness.service import OUTPUT_TOKEN, engine_service

EVENT_STREAM = "text/event-stream"
STREAM_END = "[DONE]"
"""Data of the event that ends a stream of an engine."""
MAX_LINE = 1024 * 1024
MAX_TOKENS = 1_000_000_000
"""Largest number of tokens that is believed; no engine has memory for a tenth of it."""

_DATA = b"data:"
_DONE = f"data: {STREAM_END}".encode()
_USAGE = b'"usage"'


Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]


class _PromptDetails(msgspec.Struct, frozen=True):
    cached_tokens: Tokens | None = None


class _Usage(msgspec.Struct, frozen=True):
    completion_tokens: Tokens
    prompt_tokens: Tokens
    prompt_tokens_details: _PromptDetails | None = None


class _Completion(msgspec.Struct, frozen=True):
    usage: _Usage


class Meter(Protocol):
    """Computes the service to charge for a response."""

    def feed(self, data: bytes, now: Millis) -> int:
        """Process body bytes and return the service to charge for them."""

    def finish(self, now: Millis) -> int:
        """Return the final correction to the service charged; may be negative."""

    @property
    def complete(self) -> bool:
        """Whether the body is complete according to its format."""


class SlotTimeMeter:
    """Charges a plain service for the milliseconds that it occupies a slot.

    Args:
        start: Time at which the slot was occupied.
    """

    def __init__(self, start: Millis) -> None:
        self._last = start

    @property
    def complete(self) -> bool:
        """Always true, because HTTP itself delimits the body."""
        return True

    def feed(self, data: bytes, now: Millis) -> int:
        """Charge the time since the last call."""
        return self.finish(now)

    def finish(self, now: Millis) -> int:
        """Charge the time since the last call."""
        elapsed, self._last = now - self._last, now
        return elapsed


class EventStreamMeter:
    """Charges a streamed completion per event, then corrects to the reported usage."""

    def __init__(self) -> None:
        self._partial_line = b""
        self._events = 0
        self._usage: int | None = None
        self._done = False

    @property
    def complete(self) -> bool:
        """Whether the closing `[DONE]` event was received."""
        return self._done

    def feed(self, data: bytes, now: Millis) -> int:
        """Charge one output token for each event."""
        lines = (self._partial_line + data).split(b"\n")
        self._partial_line = lines.pop()[-MAX_LINE:]
        events = sum(self._is_event(line) for line in lines)
        self._events += events
        return events * OUTPUT_TOKEN

    def finish(self, now: Millis) -> int:
        """Return the difference to the usage that the engine reported, else 0."""
        if self._usage is None:
            return 0
        return self._usage - self._events * OUTPUT_TOKEN

    def _is_event(self, line: bytes) -> bool:
        if not line.startswith(_DATA):
            return False
        if line.rstrip() == _DONE:
            self._done = True
            return False
        if _USAGE in line:
            usage = parse_usage(line[len(_DATA) :])
            self._usage = usage if usage is not None else self._usage
        return True


class BodyMeter:
    """Charges a completion that isn't streamed by the usage in its JSON body."""

    def __init__(self) -> None:
        self._body = bytearray()

    @property
    def complete(self) -> bool:
        """Always true, because HTTP itself delimits the body."""
        return True

    def feed(self, data: bytes, now: Millis) -> int:
        """Collect the body; the usage is only known at the end."""
        if len(self._body) < MAX_LINE:
            self._body += data
        return 0

    def finish(self, now: Millis) -> int:
        """Return the service of the reported usage; without one, that of one token."""
        usage = parse_usage(bytes(self._body))
        return usage if usage is not None else OUTPUT_TOKEN


def parse_usage(data: bytes) -> int | None:
    """Return the service that an OpenAI-style `usage` record amounts to.

    Args:
        data: JSON of a completion or of one event.

    Returns:
        The service, or None if the record is missing or a number of tokens is none that
        an engine can have counted.
    """
    try:
        usage = msgspec.json.decode(data, type=_Completion).usage
    except (msgspec.DecodeError, ValueError, RecursionError):
        return None
    details = usage.prompt_tokens_details
    return engine_service(
        output_tokens=usage.completion_tokens,
        input_tokens=usage.prompt_tokens,
        cached_tokens=(details.cached_tokens or 0) if details is not None else 0,
    )


def meter_for(*, engine: bool, content_type: str, start: Millis) -> Meter:
    """Choose the meter for a response.

    Args:
        engine: Whether the upstream is a model engine.
        content_type: Content type of the response.
        start: Time at which the slot was occupied.
    """
    if not engine:
        return SlotTimeMeter(start)
    if content_type.startswith(EVENT_STREAM):
        return EventStreamMeter()
    return BodyMeter()
