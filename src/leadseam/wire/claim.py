"""Messages on claims of an Idempotency-Key."""

from __future__ import annotations

from leadseam.wire.record import Message


class Claim(Message, frozen=True, array_like=True, tag=40):
    """Ask for the sole right to run a request with a caller's key.

    Args:
        ticket: Number to match the reply, unique on the link.
        account: Client account.
        key: The caller's Idempotency-Key.
        digest: Hash of the request, to refuse a reused key.
        owner: The claiming run, unique over all time.
    """

    ticket: int
    account: str
    key: str
    digest: int
    owner: str


class ClaimDone(Message, frozen=True, array_like=True, tag=41):
    """Record the answer of a claimed run; no reply."""

    account: str
    key: str
    owner: str
    status: int
    content_type: str
    body: bytes


class ClaimRelease(Message, frozen=True, array_like=True, tag=42):
    """Give up a claim whose request truly did not run; no reply."""

    account: str
    key: str
    owner: str


class ClaimReply(Message, frozen=True, array_like=True, tag=43):
    """Answer to `Claim`.

    Args:
        ticket: Number of the claim.
        verdict: A `leadseam.control.claims.Verdict`.
        status: HTTP status of the recorded answer, 0 where there is none.
        content_type: Its content type.
        body: Its body.
    """

    ticket: int
    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
