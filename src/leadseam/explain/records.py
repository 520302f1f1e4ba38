"""Lines on ended requests, read back into values. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from leadseam.clock import Millis

MIN_ERROR_STATUS = 400
"""Lowest HTTP status that is no success for the caller."""
ENDED_MESSAGE = "request ended"
REFUSED_MESSAGE = "request refused"


class Ending(StrEnum):
    """How a request ended, as its caller sees it."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """One request, from its last line.

    Args:
        request_id: The caller's identifier.
        logged_at: Time of the line, milliseconds of the wall clock.
        node: Entry that served it.
        ending: How it ended.
        reason: Why, where it was not answered with success; else an empty text.
        route: Its route, or an empty text if it was refused before it had one.
        account: Client account, or an empty text.
        instance: Upstream that was sent to last, or an empty text.
        standing: What its account could claim when it was refused, or an empty text.
        prompt: Prompt tokens of its own.
        reread: Tokens of shared parts that it was expected to read once more.
        duration: Time from its arrival to its end.
    """

    request_id: str
    logged_at: Millis
    node: str
    ending: Ending
    reason: str
    route: str
    account: str
    instance: str
    standing: str
    prompt: int
    reread: int
    duration: Millis


def read_records(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Return the ended requests among log lines; other lines are passed over.

    Args:
        lines: Lines of one or more processes. What stands before the JSON object, as a
            collector may put there, is ignored.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except ValueError:
            continue
        if isinstance(fields, dict) and fields.get("message") in (
            ENDED_MESSAGE,
            REFUSED_MESSAGE,
        ):
            yield _record(fields)


def _record(fields: dict[str, Any]) -> EndedRequest:
    return EndedRequest(
        request_id=fields.get("request", ""),
        logged_at=fields.get("time", 0),
        node=fields.get("node", ""),
        ending=_ending(fields),
        reason=_reason(fields),
        route=fields.get("route", ""),
        account=fields.get("account") or "",
        instance=fields.get("instance", ""),
        standing=fields.get("standing", ""),
        prompt=fields.get("prompt", 0),
        reread=fields.get("reread", 0),
        duration=fields.get("ms", 0),
    )


def _ending(fields: dict[str, Any]) -> Ending:
    if fields["message"] == REFUSED_MESSAGE or fields.get("outcome") == "not_run":
        return Ending.REFUSED
    if (
        fields.get("outcome") != "answered"
        or fields.get("status", 0) >= MIN_ERROR_STATUS
    ):
        return Ending.FAILED
    first = fields.get("first_ms", fields.get("ms", 0))
    late = first > fields.get("objective_ms", first)
    return Ending.LATE if late else Ending.IN_TIME


def _reason(fields: dict[str, Any]) -> str:
    if "reason" in fields:
        return str(fields["reason"])
    status = fields.get("status", 0)
    return f"status {status}" if status >= MIN_ERROR_STATUS else ""
