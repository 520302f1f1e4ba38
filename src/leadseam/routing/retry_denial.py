"""Why a failed attempt is not followed by another. Types only."""

from __future__ import annotations

from enum import StrEnum


class RetryDenial(StrEnum):
    """Why no attempt follows; the values are in log lines."""

    ANSWERED = "answered"
    """Its answer is passed on."""
    ATTEMPTS = "attempts"
    """The request was sent as often as any may be."""
    RUNS = "runs"
    """It may have run as often as its route permits."""
    TIME = "time"
    """Too little time is left until its deadline."""
    CRASHES = "crashes"
    """Requests like it crash upstreams."""
    BUDGET = "budget"
    """The retries of its pool are used up."""
