"""Decides whether to retry an attempt, or which outcome to report. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from leadseam.entry.request import LinkLost, NeverStarted
from leadseam.outcome import Failed, NotRun, Outcome, Reason, Unknown
from leadseam.wire.dispatch import Final, Head, Refused

if TYPE_CHECKING:
    from leadseam.entry.request import CallerRequest

RETRY_STATUSES = frozenset({502, 503, 504})
RETRY_AFTER_BROKEN = 1_000


@dataclass(frozen=True, slots=True)
class Retry:
    """Retry the request if the limits allow it.

    Args:
        reason: Reason for the retry, as a metric label.
        avoid: Whether to avoid the same upstream.
        uses_budget: Whether the retry counts against the retry budget.
    """

    reason: str
    avoid: bool
    uses_budget: bool


@dataclass(frozen=True, slots=True)
class Deliver:
    """Relay the upstream's answer to the caller."""


@dataclass(frozen=True, slots=True)
class Finish:
    """Report an outcome to the caller without another attempt."""

    outcome: Outcome


Decision: TypeAlias = Retry | Deliver | Finish
Ending: TypeAlias = Refused | LinkLost | NeverStarted | Final | Head


def decide(req: CallerRequest, ending: Ending) -> Decision:
    """Decide what follows an attempt of which the caller has received nothing yet.

    Args:
        req: The request.
        ending: How the attempt ended, or the `Head` of its response.

    Returns:
        A retry where that is safe. Whether it takes place also depends on the retry
        budget, the limit of attempts and the deadline.
    """
    match ending:
        case Refused(reason=reason):
            return Retry(reason, avoid=False, uses_budget=False)
        case NeverStarted():
            return Retry("link_lost", avoid=True, uses_budget=False)
        case Final(started=False, error=error):
            return Retry(error, avoid=True, uses_budget=True)
        case LinkLost():
            return _decide_after_start(req, Reason.LINK_LOST, Unknown(Reason.LINK_LOST))
        case Final(error=Reason.DEADLINE_PASSED):
            outcome: Outcome = Failed(Reason.DEADLINE_PASSED)
            return Finish(
                outcome if req.repeatable else Unknown(Reason.DEADLINE_PASSED)
            )
        case Final(error=error) if error:
            reason = Reason(error)
            outcome = Failed(reason) if req.repeatable else Unknown(reason)
            return _decide_after_start(req, reason, outcome)
        case Head(status=status) if status in RETRY_STATUSES and req.repeatable:
            return Retry(f"status_{status}", avoid=True, uses_budget=True)
        case _:
            return Deliver()


def _decide_after_start(
    req: CallerRequest, reason: Reason, outcome: Outcome
) -> Decision:
    if req.repeatable:
        return Retry(reason.value, avoid=True, uses_budget=True)
    return Finish(outcome)


def outcome_without_retry(req: CallerRequest, ending: Ending) -> Outcome:
    """Return the outcome if a retry would be safe but isn't allowed."""
    match ending:
        case Refused() | NeverStarted() | Final(started=False):
            return NotRun(Reason.RETRIES_EXHAUSTED, RETRY_AFTER_BROKEN)
        case _ if req.repeatable:
            return Failed(Reason.RETRIES_EXHAUSTED)
        case _:
            return Unknown(Reason.RETRIES_EXHAUSTED)


class RetryBudget:
    """Token bucket that limits retries to a fraction of the requests.

    A success adds `ratio` tokens and a failure removes one. Retries are allowed while
    the bucket is more than half full (see "Throttle" in tRPC-Go's slime).

    Args:
        size: Capacity of the bucket in tokens.
        ratio: Tokens added by a success.
    """

    def __init__(self, *, size: float = 20, ratio: float = 0.1) -> None:
        self._size = size
        self._ratio = ratio
        self._tokens = size

    def __repr__(self) -> str:
        return f"RetryBudget({self._tokens:.1f}/{self._size})"

    def allows(self) -> bool:
        """Return whether a retry is allowed now."""
        return self._tokens > self._size / 2

    def succeeded(self) -> None:
        """Record an attempt that succeeded."""
        self._tokens = min(self._tokens + self._ratio, self._size)

    def failed(self) -> None:
        """Record an attempt that failed."""
        self._tokens = max(self._tokens - 1, 0)
