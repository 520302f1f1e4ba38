"""Claims: the exclusive right to run a request with an idempotency key."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from leadseam.wire.record import Record

if TYPE_CHECKING:
    from leadseam.clock import Millis

RETENTION: Millis = 24 * 3_600 * 1_000
"""Time from its grant after which a claim expires."""
MAX_STORED_BODY = 4_096
"""Maximum size of a recorded answer's body, in bytes."""


class Verdict(StrEnum):
    """Outcome of a claim command."""

    GRANTED = "granted"
    HELD = "held"
    ANSWERED = "answered"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class Acquire(Record, frozen=True, array_like=True, tag=1):
    """Acquires a claim for an owner.

    Args:
        account: Client account of the request.
        key: Idempotency key of the request.
        digest: Hash of the request, to detect a key that is used for another request.
        owner: The run that is to hold the claim.
    """

    account: str
    key: str
    digest: int
    owner: str


class Complete(Record, frozen=True, array_like=True, tag=2):
    """Records the answer of the run that holds the claim."""

    account: str
    key: str
    owner: str
    status: int
    content_type: str
    body: bytes


class Release(Record, frozen=True, array_like=True, tag=3):
    """Releases a claim whose request did not run."""

    account: str
    key: str
    owner: str


ClaimCommand: TypeAlias = Acquire | Complete | Release


class ClaimResult(Record, frozen=True, array_like=True):
    """Outcome of one command.

    Args:
        verdict: A `Verdict`.
        status: Status of the recorded answer, 0 if there is none.
        content_type: Content type of the recorded answer.
        body: Body of the recorded answer.
    """

    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimRow(Record, frozen=True, array_like=True):
    """A claim as stored.

    Args:
        digest: Hash of the request.
        owner: The run that holds the claim.
        expires: Wall time at which the claim expires.
        status: Status of the recorded answer, 0 while there is none.
        content_type: Content type of the recorded answer.
        body: Body of the recorded answer.
    """

    digest: int
    owner: str
    expires: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(slots=True)
class ClaimTable:
    """All claims, by account and key.

    Args:
        rows: Claims in the order of their expiry: a dict keeps the order of insertion,
            and all claims have the same retention.
    """

    rows: dict[tuple[str, str], ClaimRow]

    def apply(self, command: ClaimCommand, now: Millis) -> ClaimResult:
        """Apply one command at the wall time stamped by the leader."""
        self._expire(now)
        match command:
            case Acquire():
                return self._acquire(command, now)
            case Complete():
                return self._complete(command)
            case Release():
                return self._release(command)

    def _expire(self, now: Millis) -> None:
        while self.rows:
            key, row = next(iter(self.rows.items()))
            if row.expires > now:
                return
            del self.rows[key]

    def _acquire(self, command: Acquire, now: Millis) -> ClaimResult:
        key = (command.account, command.key)
        row = self.rows.get(key)
        if row is None:
            self.rows[key] = ClaimRow(command.digest, command.owner, now + RETENTION)
            return ClaimResult(Verdict.GRANTED)
        if row.digest != command.digest:
            return ClaimResult(Verdict.MISMATCH)
        if row.status:
            return ClaimResult(Verdict.ANSWERED, row.status, row.content_type, row.body)
        if row.owner == command.owner:
            return ClaimResult(Verdict.GRANTED)
        return ClaimResult(Verdict.HELD)

    def _complete(self, command: Complete) -> ClaimResult:
        key = (command.account, command.key)
        row = self.rows.get(key)
        if row is None or row.owner != command.owner or row.status:
            return ClaimResult(Verdict.HELD)
        self.rows[key] = ClaimRow(
            row.digest,
            row.owner,
            row.expires,
            command.status,
            command.content_type,
            command.body,
        )
        return ClaimResult(Verdict.ANSWERED)

    def _release(self, command: Release) -> ClaimResult:
        key = (command.account, command.key)
        row = self.rows.get(key)
        if row is not None and row.owner == command.owner and not row.status:
            del self.rows[key]
        return ClaimResult(Verdict.GRANTED)
