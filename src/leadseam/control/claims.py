"""Claims: the sole right to run a request that carries a caller's key."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from leadseam.wire.record import Record

if TYPE_CHECKING:
    from leadseam.clock import Millis

RETENTION: Millis = 24 * 3_600 * 1_000
MAX_STORED_BODY = 4_096


class Verdict(StrEnum):
    """Answer to a claim."""

    GRANTED = "granted"
    HELD = "held"
    ANSWERED = "answered"
    MISMATCH = "mismatch"
    UNAVAILABLE = "unavailable"


class Acquire(Record, frozen=True, array_like=True, tag=1):
    """Take a claim, or learn who holds it."""

    account: str
    key: str
    digest: int
    owner: str


class Complete(Record, frozen=True, array_like=True, tag=2):
    """Record the answer of the owner's run."""

    account: str
    key: str
    owner: str
    status: int
    content_type: str
    body: bytes


class Release(Record, frozen=True, array_like=True, tag=3):
    """Give up a claim whose request did not run."""

    account: str
    key: str
    owner: str


ClaimCommand: TypeAlias = Acquire | Complete | Release


class ClaimResult(Record, frozen=True, array_like=True):
    """Outcome of one command; the last three are of a recorded answer."""

    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class ClaimRow(Record, frozen=True, array_like=True):
    """A claim as stored.

    Args:
        digest: Hash of the request.
        owner: The run that holds it.
        expires: Wall time at which it is forgotten.
        status: Status of the recorded answer, 0 while there is none.
        content_type: Its content type.
        body: Its body.
    """

    digest: int
    owner: str
    expires: int
    status: int = 0
    content_type: str = ""
    body: bytes = b""


@dataclass(slots=True)
class ClaimTable:
    """All claims, by account and key, in order of expiry.

    Args:
        rows: Claims; a dict keeps the order of insertion, which is that of expiry.
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
