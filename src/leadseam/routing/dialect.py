"""Interface between the data path and a wire format, and the types it exchanges."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aiohttp import web
    from multidict import MultiMapping

    from leadseam.clock import Millis
    from leadseam.event_sequence import EventFormat
    from leadseam.incarnation import Incarnation
    from leadseam.liveness import HealthCheck

Headers = tuple[tuple[str, str], ...]
"""Names and values in wire order; a name may occur more than once."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, shared by all requests with a part of the same identity.

    Args:
        identity: Unique identifier of the part.
        tokens: Its length in tokens.
    """

    identity: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Sender:
    """Sender of a request, and the request's approximate size.

    Args:
        request_id: The caller's identifier of the request, or an empty string.
        key: The caller's bearer key, or None.
        tokens_in: Number of prompt tokens; 0 if not read.
        tokens_out: Maximum number of tokens to generate; 0 if not read.
        max_wait: Milliseconds that the caller waits for an answer, or None if not
            stated.
        body_size: Announced size of the body in bytes; 0 if not read.
    """

    request_id: str
    key: str | None
    tokens_in: int = 0
    tokens_out: int = 0
    max_wait: Millis | None = None
    body_size: int = 0


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request as read from the wire.

    Args:
        request_id: The caller's unique identifier of the request.
        host: Host that the caller addressed, without a port.
        method: HTTP method.
        target: Raw path and query.
        headers: End-to-end headers to pass on unchanged.
        key: The caller's bearer key, or None.
        max_wait: Milliseconds that the caller waits for an answer, or None if not
            stated.
        parts: Parts of the prompt in order; empty for requests without a prompt.
        tokens_in: Number of prompt tokens.
        tokens_out: Maximum number of tokens to generate.
        resume_after: Id of the last event that the caller has received, or None.
        resumes: Id of the caller's attempt that brought the first event of the stream
            that this request resumes, or None.
    """

    request_id: str
    host: str
    method: str
    target: str
    headers: Headers
    key: str | None
    max_wait: Millis | None
    parts: tuple[PromptPart, ...]
    tokens_in: int
    tokens_out: int
    resume_after: str | None
    resumes: str | None = None

    @property
    def path(self) -> str:
        """Raw path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """Values of the headers that the system itself adds to an attempt.

    Args:
        instance: Id of the upstream that must answer; any other has to refuse. It
            does not distinguish two starts of one upstream.
        account: Client account that the request is charged to, or None.
        uses_account_keys: Whether bearer keys belong to client accounts; such keys are
            not passed on to upstreams.
        time_left: Milliseconds until the deadline of the request.
        resume_after: Id of the last event already delivered, or None.
        fetch_from: Address (`IP:PORT`) of the engine to fetch cached prompt parts from,
            or an empty string.
    """

    instance: str
    account: str | None
    uses_account_keys: bool
    time_left: Millis
    resume_after: str | None
    fetch_from: str = ""


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Head of an upstream's answer.

    Args:
        request_id: Id of the request that it answers, or None if not stated.
        not_run: Whether the upstream states that it did not run the request.
        signed: Whether the answer carries the upstream's signature.
        event_stream: Whether the body is an event stream.
        pause: Milliseconds for which the upstream requests no more work from this
            entry; 0 if not stated.
        invalid_pause: Requested pause that could not be parsed, or an empty string.
        leaving: Whether the upstream announces that it is leaving.
        encoded: Whether the body has a content encoding, which no request asks for.
    """

    request_id: str | None
    not_run: bool
    signed: bool
    event_stream: bool
    pause: Millis = 0
    invalid_pause: str = ""
    leaving: bool = False
    encoded: bool = False


class Dialect(Protocol):
    """Reads and writes the headers of callers and upstreams; makes no decisions.

    Attributes:
        event_format: How upstreams write the events of routes that answer with them.
    """

    event_format: EventFormat

    def read_request(self, http: web.BaseRequest) -> RoutedRequest | None:
        """Read a caller's request; None if its headers are malformed."""

    def read_sender(self, http: web.BaseRequest) -> Sender:
        """Read only the sender of a request."""

    def attempt_headers(
        self, req: RoutedRequest, attempt: AttemptHead
    ) -> list[tuple[str, str]]:
        """Return all headers of a request to an upstream."""

    def read_answer(self, status: int, headers: MultiMapping[str]) -> AnswerHead:
        """Read the head of an upstream's answer."""

    def health_check(self, incarnation: Incarnation, path: str) -> HealthCheck:
        """Return a health check of an upstream.

        Args:
            incarnation: The upstream.
            path: Path of its health checks; empty if not known.
        """

    def retry_after(self, pause: Millis) -> Headers:
        """Return the headers that ask a caller to retry after a pause."""
