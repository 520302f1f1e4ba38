"""Error responses as bytes, for requests that the HTTP library has not parsed."""

from __future__ import annotations

import json
from dataclasses import replace
from functools import lru_cache
from http import HTTPStatus
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND
from leadseam.entry.error_responses import error_body, http_status, outcome_name
from leadseam.outcome import NotRun
from leadseam.platform import names

if TYPE_CHECKING:
    from leadseam.outcome import Unknown


BODY_END = "}}"
"""End of a response's body, before which further fields of the error are inserted."""
MAX_KEPT = 256
"""Encoded outcomes that are kept; there are fewer but for fingerprints."""


def encode_refusal(outcome: NotRun | Unknown) -> bytes:
    """Encode an outcome as an HTTP response that closes the connection."""
    if not isinstance(outcome, NotRun) or outcome.retry_after is None:
        head, body = _parts(outcome)
        return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()
    # A busy entry sends hundreds a second, which differ by their pauses only.
    pause = outcome.retry_after
    head, body = _parts(replace(outcome, retry_after=None))
    body = f'{body[: -len(BODY_END)]}, "retry_after_ms": {pause}{BODY_END}'
    return (
        f"{head}{names.RETRY_AFTER}: {pause / MILLIS_PER_SECOND:.3f}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


@lru_cache(MAX_KEPT)
def _parts(outcome: NotRun | Unknown) -> tuple[str, str]:
    """Return the head but for lengths and pauses, and the body without a pause."""
    status = http_status(outcome)
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        "Content-Type: application/json; charset=utf-8",
        f"X-Leadseam-Outcome: {outcome_name(outcome)}",
        "Connection: close",
        "",
    ]
    return "\r\n".join(lines), json.dumps(error_body(outcome))
