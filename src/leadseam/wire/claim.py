"""Messages on claims of an `Idempotency-Key`."""

from __future__ import annotations

from leadseam.wire.record import Message


class Claim(Message, frozen=True, array_like=True, tag=40):
    """Requests the exclusive right to run a request with a caller's key.

    Args:
        ticket: Number that the reply repeats, unique on the link.
        account: Client account.
        key: The caller's `Idempotency-Key`.
        digest: Hash of the request, by which a key reused for another one is refused.
        owner: Id of the run that claims the key, never used twice.
    """

    ticket: int
    account: str
    key: str
    digest: int
    owner: str


class ClaimDone(Message, frozen=True, array_like=True, tag=41):
    """Records the answer of a claimed run; it has no reply."""

    account: str
    key: str
    owner: str
    status: int
    content_type: str
    body: bytes


class ClaimRelease(Message, frozen=True, array_like=True, tag=42):
    """Releases a claim whose request is known not to have run; it has no reply."""

    account: str
    key: str
    owner: str


class ClaimReply(Message, frozen=True, array_like=True, tag=43):
    """Reply to `Claim`.

    Args:
        ticket: Ticket of the claim.
        verdict: A `leadseam.control.claims.Verdict`.
        status: HTTP status of the recorded answer, 0 if there is none.
        content_type: Its content type.
        body: Its body.
    """

    ticket: int
    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""
