"""Refusals as bytes, for requests that the HTTP library has not parsed."""

from __future__ import annotations

import json
from http import HTTPStatus
from typing import TYPE_CHECKING

from leadseam.entry.error_responses import error_body, http_status
from leadseam.platform import names

if TYPE_CHECKING:
    from leadseam.outcome import NotRun


def encode_refusal(refusal: NotRun) -> bytes:
    """Encode a refusal as an HTTP response that closes the connection."""
    body = json.dumps(error_body(refusal)).encode()
    status = http_status(refusal)
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        "Content-Type: application/json; charset=utf-8",
        "X-Leadseam-Outcome: not_run",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if refusal.retry_after is not None:
        lines.append(f"{names.RETRY_AFTER}: {refusal.retry_after / 1_000:.3f}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
