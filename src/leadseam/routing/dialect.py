"""What the data path needs from a wire format, and the types it reads it into."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from aiohttp import web
    from multidict import MultiMapping

    from leadseam.clock import Millis

Headers = tuple[tuple[str, str], ...]
"""Names and values in the order of the wire; a name may occur more than once."""


@dataclass(frozen=True, slots=True)
class PromptPart:
    """A part of a prompt, shared by all requests that name the same identity.

    Args:
        identity: Tells it from other parts.
        tokens: Its length.
    """

    identity: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Sender:
    """Who sends a request.

    Args:
        request_id: The caller's identifier, or an empty text.
        key: The caller's bearer key, or None.
        own_tokens: Prompt tokens that no other request shares; 0 if not read.
        tokens_out: Most tokens to be generated; 0 if not read.
    """

    request_id: str
    key: str | None
    own_tokens: int = 0
    tokens_out: int = 0


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """A caller's request as read from the wire.

    Args:
        request_id: The caller's identifier; unique to this request.
        host: Host that the caller addressed, without a port.
        method: HTTP method.
        target: Raw path and query.
        headers: End-to-end headers to pass on unchanged.
        key: The caller's bearer key, or None.
        max_wait: Milliseconds that the caller will wait, or None if it does not say.
        parts: Parts of the prompt in order; empty for other work.
        tokens_in: Tokens of the prompt.
        tokens_out: Most tokens to be generated.
        resume_after: Identity of the last event that the caller has, or None.
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

    @property
    def path(self) -> str:
        """Raw path without the query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True, slots=True)
class AttemptHead:
    """What the system itself tells the upstream with one attempt.

    Args:
        instance: Id of the upstream that must answer; any other has to refuse. It
            does not tell two starts of one upstream apart.
        account: Client account that pays, or None.
        uses_account_keys: Whether bearer keys are this system's own and stay here.
        time_left: Milliseconds until the request is given up.
        resume_after: Identity of the last event already delivered, or None.
    """

    instance: str
    account: str | None
    uses_account_keys: bool
    time_left: Millis
    resume_after: str | None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """What an upstream's answer says of itself.

    Args:
        request_id: Request that it belongs to, or None if it does not say.
        not_run: Whether the upstream declares that it did not run the request.
        signed: Whether it carries the upstream's signature.
        event_stream: Whether the body is a sequence of events.
        pause: Milliseconds in which the upstream wants nothing more from this entry;
            0 if it does not say.
        invalid_pause: What it said of a pause that could not be read, or an empty text.
        leaving: Whether it says that it is about to end.
    """

    request_id: str | None
    not_run: bool
    signed: bool
    event_stream: bool
    pause: Millis = 0
    invalid_pause: str = ""
    leaving: bool = False


class Dialect(Protocol):
    """Reads and writes the headers of callers and upstreams; decides nothing."""

    def read_request(self, http: web.BaseRequest) -> RoutedRequest | None:
        """Read a caller's request; None if its headers are malformed."""

    def read_sender(self, http: web.BaseRequest) -> Sender:
        """Read who sends a request, and nothing else of it."""

    def attempt_headers(
        self, req: RoutedRequest, attempt: AttemptHead
    ) -> list[tuple[str, str]]:
        """Return all headers of a request to an upstream."""

    def read_answer(self, status: int, headers: MultiMapping[str]) -> AnswerHead:
        """Read the head of an upstream's answer."""

    def retry_after(self, pause: Millis) -> Headers:
        """Return the headers that tell a caller when to come back."""
