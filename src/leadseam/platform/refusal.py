"""Error responses as bytes, for requests that the HTTP library has not parsed."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from leadseam.entry.error_responses import error_body, http_status, outcome_name
from leadseam.outcome import NotRun
from leadseam.platform import names

if TYPE_CHECKING:
    from leadseam.outcome import Unknown


def encode_refusal(outcome: NotRun | Unknown) -> bytes:
    """Encode an outcome as an HTTP response that closes the connection."""
    body = json.dumps(error_body(outcome)).encode()
    status = http_status(outcome)
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        "Content-Type: application/json; charset=utf-8",
        f"X-Leadseam-Outcome: {outcome_name(outcome)}",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if isinstance(outcome, NotRun) and outcome.retry_after is not None:
        lines.append(f"{names.RETRY_AFTER}: {outcome.retry_after / 1_000:.3f}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
