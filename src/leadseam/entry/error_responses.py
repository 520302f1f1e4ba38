"""Error responses for requests that got no complete answer from an upstream."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown

if TYPE_CHECKING:
    from leadseam.clock import Millis

MILLIS_PER_SECOND = 1_000
BAD_GATEWAY = 502
UNAVAILABLE = 503

STATUS_CODES = {
    Reason.NO_KEY: 401,
    Reason.WRONG_KEY: 401,
    Reason.MALFORMED_BODY: 400,
    Reason.MALFORMED_HEADER: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADER_TOO_LARGE: 431,
    Reason.HEADER_TIMEOUT: 408,
    Reason.BODY_TIMEOUT: 408,
    Reason.UNKNOWN_MODEL: 404,
    Reason.MODEL_NOT_ALLOWED: 403,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_ROUTE: 404,
    Reason.ACCOUNT_QUEUE_FULL: 429,
    Reason.MEMORY_FULL: 503,
    Reason.DEADLINE_PASSED: 504,
    Reason.ENTRY_BUSY: 503,
    Reason.NO_UPSTREAM: 503,
    Reason.VERSION_GONE: 503,
    Reason.VERSION_UNKNOWN: 503,
    Reason.NO_CONFIGURATION: 503,
    Reason.UPSTREAM_UNREACHABLE: 502,
    Reason.UPSTREAM_BROKEN: 502,
    Reason.UPSTREAM_SILENT: 502,
    Reason.UPSTREAM_RESTARTED: 502,
    Reason.UPSTREAM_FULL: 503,
    Reason.UPSTREAMS_PAUSED: 503,
    Reason.RETRIES_EXHAUSTED: 502,
    Reason.CRASHES_UPSTREAMS: 503,
    Reason.MAY_CRASH_UPSTREAMS: 503,
    Reason.CLAIM_UNAVAILABLE: 503,
    Reason.CLAIM_HELD: 409,
    Reason.CLAIM_MISMATCH: 422,
    Reason.LINK_LOST: 502,
}

MESSAGES = {
    Reason.NO_KEY: "send a key as `Authorization: Bearer KEY`",
    Reason.WRONG_KEY: "this key belongs to no client account",
    Reason.MALFORMED_BODY: "the body must be a JSON object with a string `model`",
    Reason.MALFORMED_HEADER: "a leadseam header has a value that cannot be used",
    Reason.BODY_TOO_LARGE: "the body is larger than this entry accepts",
    Reason.HEADER_TOO_LARGE: "the head is larger than this entry accepts",
    Reason.HEADER_TIMEOUT: "the head did not arrive in time",
    Reason.BODY_TIMEOUT: "the body did not arrive in time",
    Reason.UNKNOWN_MODEL: "no such model or version",
    Reason.MODEL_NOT_ALLOWED: "this client account may not use that",
    Reason.UNKNOWN_SERVICE: "no such service",
    Reason.UNKNOWN_ROUTE: "no route leads there",
    Reason.ACCOUNT_QUEUE_FULL: "too many requests of this client account wait",
    Reason.MEMORY_FULL: "too many requests wait at this entry",
    Reason.DEADLINE_PASSED: "the deadline has passed",
    Reason.ENTRY_BUSY: "this entry is short of processor time",
    Reason.NO_UPSTREAM: "no upstream can take this now",
    Reason.VERSION_GONE: "no upstream runs the version that began this stream",
    Reason.VERSION_UNKNOWN: "it is not known which version began this stream",
    Reason.NO_CONFIGURATION: "this entry has no confirmed configuration yet",
    Reason.UPSTREAM_UNREACHABLE: "the upstream could not be reached",
    Reason.UPSTREAM_BROKEN: "the upstream broke off its answer",
    Reason.UPSTREAM_SILENT: "the upstream fell silent",
    Reason.UPSTREAM_RESTARTED: "the upstream has started again meanwhile",
    Reason.UPSTREAM_FULL: "no upstream had room for this",
    Reason.UPSTREAMS_PAUSED: "all upstreams have asked for a pause",
    Reason.RETRIES_EXHAUSTED: "no further attempt was allowed",
    Reason.CRASHES_UPSTREAMS: "this request has crashed several upstreams; do not"
    " send it again",
    Reason.MAY_CRASH_UPSTREAMS: "several upstreams have crashed under this request;"
    " whether it is the cause is not known yet",
    Reason.CLAIM_UNAVAILABLE: "the Idempotency-Key could not be claimed",
    Reason.CLAIM_HELD: "a request with this Idempotency-Key was already accepted",
    Reason.CLAIM_MISMATCH: "this Idempotency-Key was used for another request",
    Reason.LINK_LOST: "the connection towards the upstream was lost",
}


def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome in responses, metrics and logs."""
    match outcome:
        case Answered():
            return "answered"
        case NotRun():
            return "not_run"
        case Failed():
            return "failed"
        case Unknown():
            return "unknown"


def error_body(outcome: NotRun | Failed | Unknown) -> dict[str, object]:
    """Return the JSON body for an outcome, in the format of OpenAI's errors."""
    error: dict[str, object] = {
        "message": MESSAGES[outcome.reason],
        "type": "leadseam_error",
        "code": outcome.reason.value,
        "outcome": outcome_name(outcome),
    }
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        error["retry_after_ms"] = outcome.retry_after
    return {"error": error}


def error_response(outcome: NotRun | Failed | Unknown) -> web.Response:
    """Return the complete HTTP error response for an outcome."""
    headers = {"X-Leadseam-Outcome": outcome_name(outcome)}
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        headers["Retry-After"] = str(_ceil_seconds(outcome.retry_after))
    body = error_body(outcome)
    return web.json_response(body, status=http_status(outcome), headers=headers)


def http_status(outcome: NotRun | Failed | Unknown) -> int:
    """Return the HTTP status of an outcome.

    Callers may take 503 to mean that the request has not run. 502 doesn't tell, so
    `NotRun` is never reported as 502.
    """
    status = STATUS_CODES[outcome.reason]
    if isinstance(outcome, NotRun) and status == BAD_GATEWAY:
        return UNAVAILABLE
    return status


def error_event(outcome: Failed | Unknown) -> bytes:
    """Return the server-sent event that reports an error in a started stream."""
    return b"event: error\ndata: " + json.dumps(error_body(outcome)).encode() + b"\n\n"


def _ceil_seconds(millis: Millis) -> int:
    return -(-millis // MILLIS_PER_SECOND)
