"""Decoding and encoding of the HTTP headers of callers and upstreams."""

from __future__ import annotations

from math import ceil, nan
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND
from leadseam.event_sequence import EventFormat
from leadseam.incarnation import NO_START
from leadseam.liveness import HealthCheck
from leadseam.platform import names
from leadseam.routing.attempt import HOP_BY_HOP
from leadseam.routing.dialect import (
    AnswerHead,
    AttemptHead,
    Headers,
    PromptPart,
    RoutedRequest,
    Sender,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aiohttp import web
    from multidict import MultiMapping

    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation

EVENT_STREAM = "text/event-stream"
SERVICE_UNAVAILABLE = 503
"""Status of a response in which an upstream may ask for a pause."""
MAX_PAUSE: Millis = 3_600_000
"""Longest pause that an upstream is granted: an hour. A longer one is a mistake of the
upstream, and would still be in force after the mistake has been corrected."""
MAX_LOGGED_CHARS = 40
"""Maximum number of characters of a header value in a log line."""

_SYSTEM_HEADERS = frozenset(
    name.lower()
    for name in (
        names.DEADLINE,
        names.EXPECT_INSTANCE,
        names.ACCOUNT,
        names.LAST_EVENT,
        # Engines refuse most requests with a forged control header. Where callers add
        # them, that was a third of all sends (1,279 of 4,007), each of them a retry.
        *names.ENGINE_CONTROLS,
    )
)


class PlatformDialect:
    """The platform's headers; see `leadseam.routing.dialect.Dialect`."""

    event_format = EventFormat(
        first=names.FIRST_EVENT, counters=frozenset({names.WEIGHT_VERSIONS.lower()})
    )

    def read_request(self, http: web.BaseRequest) -> RoutedRequest | None:
        """Decode a caller's request, or return None if it has no request identifier."""
        headers = http.headers
        request_id = headers.get(names.REQUEST_ID)
        if not request_id:
            return None
        tokens_in, tokens_out = read_tokens(headers.get(names.TOKENS, ""))
        return RoutedRequest(
            request_id=request_id,
            host=headers.get("Host", "").partition(":")[0],
            method=http.method,
            target=http.raw_path,
            headers=_end_to_end(http),
            key=read_key(headers.get(names.AUTHORIZATION)),
            max_wait=read_number(headers.get(names.DEADLINE)),
            parts=read_parts(headers.get(names.PROMPT_PARTS, "")),
            tokens_in=tokens_in,
            tokens_out=tokens_out,
            resume_after=headers.get(names.LAST_EVENT),
            resumes=read_resumed(headers.getall(names.RESUMES, [])),
        )

    def read_sender(self, http: web.BaseRequest) -> Sender:
        """Decode only the identifier, the key and the stated time of a request."""
        headers = http.headers
        key = read_key(headers.get(names.AUTHORIZATION))
        max_wait = read_number(headers.get(names.DEADLINE))
        return Sender(headers.get(names.REQUEST_ID, ""), key, max_wait=max_wait)

    def attempt_headers(
        self, req: RoutedRequest, attempt: AttemptHead
    ) -> list[tuple[str, str]]:
        """Return the caller's headers and those that the system sets for an attempt."""
        headers = [
            (name, value)
            for name, value in req.headers
            if not (
                attempt.uses_account_keys
                and name.lower() == names.AUTHORIZATION.lower()
            )
        ]
        headers.append((names.DEADLINE, str(attempt.time_left)))
        headers.append((names.EXPECT_INSTANCE, attempt.instance))
        if attempt.account is not None:
            headers.append((names.ACCOUNT, attempt.account))
        if attempt.resume_after is not None:
            headers.append((names.LAST_EVENT, attempt.resume_after))
        if attempt.fetch_from:
            headers.append((names.FETCH_FROM, attempt.fetch_from))
        return headers

    def read_answer(self, status: int, headers: MultiMapping[str]) -> AnswerHead:
        """Decode the head of an upstream's response."""
        content_type = headers.get("Content-Type", "")
        pause, invalid_pause = 0, ""
        if status == SERVICE_UNAVAILABLE:
            pause, invalid_pause = read_pause(headers.getall(names.RETRY_AFTER, []))
        return AnswerHead(
            request_id=headers.get(names.REQUEST_ID),
            not_run=names.NOT_RUN in headers,
            signed=names.SIGNATURE in headers,
            event_stream=content_type.startswith(EVENT_STREAM),
            pause=pause,
            invalid_pause=invalid_pause,
            leaving=names.LEAVING_VALUE in headers.getall(names.LEAVING, []),
            encoded="Content-Encoding" in headers or _has_unknown_coding(headers),
        )

    def health_check(self, incarnation: Incarnation, path: str) -> HealthCheck:
        """Return a health check that names the server; another one answers 421."""
        return HealthCheck(
            path,
            headers=((names.EXPECT_INSTANCE, incarnation.instance),),
            instance_header=names.INSTANCE.lower(),
            instance=incarnation.instance,
            is_unique=incarnation.start == NO_START,
        )

    def retry_after(self, pause: Millis) -> Headers:
        """Return the pause in seconds; the platform's callers accept fractions."""
        return ((names.RETRY_AFTER, f"{pause / 1_000:.3f}"),)


def _end_to_end(http: web.BaseRequest) -> Headers:
    listed = http.headers.get("Connection", "").lower().split(",")
    dropped = HOP_BY_HOP | _SYSTEM_HEADERS | {name.strip() for name in listed}
    return tuple(
        (str(name), str(value))
        for name, value in http.headers.items()
        if name.lower() not in dropped
    )


def read_pause(values: Sequence[str]) -> tuple[Millis, str]:
    """Parse the pause that an upstream asks for.

    Args:
        values: Values of all `Retry-After` headers, in seconds. Dates are invalid, as
            the clocks of boxes are not compared.

    Returns:
        The longest valid pause, or 0 if there is none, and the last invalid value, or
        an empty string if all are valid.
    """
    pause, invalid = 0, ""
    for value in values:
        try:
            seconds = float(value)
        except ValueError:
            seconds = nan
        if not seconds >= 0:
            invalid = value[:MAX_LOGGED_CHARS] or "empty"
            continue
        pause = max(pause, ceil(min(seconds * MILLIS_PER_SECOND, MAX_PAUSE)))
    return pause, invalid


def read_resumed(values: Sequence[str]) -> str | None:
    """Return the id of the attempt that began a resumed stream.

    Args:
        values: Values of all `Resumes` headers.

    Returns:
        None if there is none, or if they differ.
    """
    ids = {value.strip() for value in values}
    return ids.pop() or None if len(ids) == 1 else None


def read_key(value: str | None) -> str | None:
    """Return the key of an `Authorization` header, or None without the header."""
    if value is None:
        return None
    return value.removeprefix(names.BEARER).strip()


def read_number(value: str | None) -> int | None:
    if value is None:
        return None
    try:
        return max(int(float(value)), 1)
    except (ValueError, OverflowError):
        return None


def read_tokens(value: str) -> tuple[int, int]:
    """Return the number of prompt tokens and the most tokens to be generated."""
    first, _, second = value.partition(",")
    return read_number(first or None) or 0, read_number(second or None) or 0


def read_parts(value: str) -> tuple[PromptPart, ...]:
    """Parse the parts of a prompt, in order."""

    parts = []
    for item in value.split(","):
        identity, separator, tokens = item.strip().partition(":")
        if separator:
            parts.append(PromptPart(identity, read_number(tokens) or 0))
    return tuple(parts)


def _has_unknown_coding(headers: MultiMapping[str]) -> bool:
    """Return whether a body has a transfer coding other than `chunked`."""
    codings = headers.getall("Transfer-Encoding", [])
    return any(coding.strip().lower() != "chunked" for coding in codings)
