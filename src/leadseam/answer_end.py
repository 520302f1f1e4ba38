"""How the body of an upstream's answer ended, and whether it is whole. No I/O.

A body is delimited by its length, by chunks or, without either, by the end of its
connection (RFC 9112, section 6.3). In the last case a process that was killed may end
the connection as one that has finished does.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.liveness import Liveness

if TYPE_CHECKING:
    from multidict import MultiMapping

    from leadseam.event_sequence import SpoiltEvent

EMPTY_BODY_STATUSES = frozenset({204, 304})
"""Statuses of answers that never have a body."""


class Framing(StrEnum):
    """What delimits the body of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


class Close(StrEnum):
    """How reading a body ended.

    `COMPLETE`: the length or the last chunk was reached. `CLOSED`: the upstream closed
    the connection. `RESET`: the connection was reset, or its peer was unreachable.
    `DROPPED`: this box closed the connection, for example because of malformed bytes.
    """

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    DROPPED = "dropped"


class Completeness(StrEnum):
    """Whether an answer is whole, as far as its own bytes tell."""

    WHOLE = "whole"
    BROKEN = "broken"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """How the body of an answer ended.

    Args:
        framing: What delimits the body.
        close: How reading it ended.
        unfinished: Bytes after the last complete event; 0 if it is no event stream.
        liveness: Whether the upstream still ran after the end; None if it was not
            checked.
        spoilt: The event that was not the one due, or None.
    """

    framing: Framing
    close: Close
    unfinished: int = 0
    liveness: Liveness | None = None
    spoilt: SpoiltEvent | None = None

    @property
    def completeness(self) -> Completeness:
        """Whether the answer is whole.

        `UNKNOWN` means that the upstream closed the connection of a body that has no
        other end, which is the same whether or not it had more to send. Such an answer
        is whole if its upstream runs on: one that can't be reached any more may have
        been killed, and a caller can repeat a broken answer but can't tell a short one
        from a whole one.
        """
        if self.unfinished or self.spoilt is not None:
            return Completeness.BROKEN
        match self.close:
            case Close.COMPLETE:
                return Completeness.WHOLE
            case Close.CLOSED if self.framing is Framing.CONNECTION:
                match self.liveness:
                    case None:
                        return Completeness.UNKNOWN
                    case Liveness.RUNS:
                        return Completeness.WHOLE
                    case Liveness.GONE | Liveness.UNKNOWN:
                        return Completeness.BROKEN
            case _:
                return Completeness.BROKEN

    def log_fields(self) -> dict[str, object]:
        """Return the fields that describe the end in a log line."""
        fields: dict[str, object] = {
            "framing": self.framing.value,
            "close": self.close.value,
            "unfinished": self.unfinished,
        }
        if self.liveness is not None:
            fields["upstream_gone"] = self.liveness is Liveness.GONE
            fields["liveness"] = self.liveness.value
        if self.spoilt is not None:
            fields |= self.spoilt.log_fields()
        return fields

    def label(self) -> str:
        """Return the value that counts the end in a metric, such as `chunks/reset`."""
        place = "/unfinished_event" if self.unfinished else ""
        if self.spoilt is not None:
            place = f"/spoilt_{self.spoilt.fault}"
        liveness = self.liveness
        checked = liveness is not None and liveness is not Liveness.RUNS
        state = f"/upstream_{liveness}" if checked else ""
        return f"{self.framing.value}/{self.close.value}{place}{state}"


def read_framing(method: str, status: int, headers: MultiMapping[str]) -> Framing:
    """Return what delimits the body of an answer.

    Args:
        method: Method of the request.
        status: Status of the answer.
        headers: Headers of the answer.
    """
    if method == "HEAD" or status in EMPTY_BODY_STATUSES:
        return Framing.LENGTH
    encoding = headers.get("Transfer-Encoding")
    if encoding is not None:
        last = encoding.rpartition(",")[2].strip().lower()
        return Framing.CHUNKS if last == "chunked" else Framing.CONNECTION
    return Framing.LENGTH if "Content-Length" in headers else Framing.CONNECTION
