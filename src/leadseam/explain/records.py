"""Parser for log lines of ended requests. No I/O."""

from __future__ import annotations

import json
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from leadseam.clock import Millis

MIN_ERROR_STATUS = 400
"""Lowest HTTP status that counts as an error for the caller."""
ENDED_MESSAGE = "request ended"
REFUSED_MESSAGE = "request refused"


class Ending(StrEnum):
    """Outcome of a request as seen by its caller."""

    IN_TIME = "in time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """One ended request, from its last log line.

    Args:
        request_id: Identifier of the request, given by the caller.
        logged_at: Time of the log line, in milliseconds of the wall clock.
        node: Entry that served the request.
        ending: Outcome as seen by the caller.
        reason: Reason if it was not answered successfully, or an empty string.
        route: Route, or an empty string if it was refused before it had one.
        account: Client account, or an empty string.
        instance: Upstream that it was last sent to, or an empty string.
        standing: Standing of its account, that is what the account could claim, when
            the request was refused, or an empty string.
        prompt: Prompt tokens of its own, without shared prompt parts.
        reread: Tokens of shared prompt parts that were expected to be read again.
        fetched: Tokens of shared prompt parts that the upstream was told to fetch.
        duration: Milliseconds from arrival to end.
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
    fetched: int
    duration: Millis


def read_records(lines: Iterable[str]) -> Iterator[EndedRequest]:
    """Yield the ended requests among log lines; unrelated lines are skipped.

    Args:
        lines: Log lines of one or more processes. A prefix before the JSON object, as
            log collectors may add it, is ignored.
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
        fetched=fields.get("fetched", 0),
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
