"""Circuit breaker for an upstream, with a trial request before recovery. No I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

MAX_FAILURES = 3
FIRST_PAUSE: Millis = 500
MAX_PAUSE: Millis = 10_000


class Health(StrEnum):
    """State of an upstream: in service, out of service, or tried with one request."""

    UP = "up"
    OUT = "out"
    TRIAL = "trial"


class Breaker:
    """Takes an upstream out of service after failed requests or probes.

    The pause before the next trial starts at `FIRST_PAUSE` and doubles up to
    `MAX_PAUSE`. A successful request resets it.
    """

    def __init__(self) -> None:
        self.health = Health.OUT
        self._failures = 0
        self._pause = FIRST_PAUSE
        self._out_until: Millis = 0

    def __repr__(self) -> str:
        return f"Breaker({self.health}, failures={self._failures})"

    def allowed_slots(self, slots: int) -> int:
        """Return how many of the upstream's slots may be used in the current state."""
        match self.health:
            case Health.UP:
                return slots
            case Health.TRIAL:
                return min(slots, 1)
            case Health.OUT:
                return 0

    def request_succeeded(self) -> None:
        """Record a request that succeeded."""
        self._failures = 0
        if self.health is not Health.OUT:
            self.health = Health.UP
            self._pause = FIRST_PAUSE

    def request_failed(self, now: Millis) -> None:
        """Record a request that failed because of the upstream."""
        self._failures += 1
        if self.health is Health.TRIAL or self._failures >= MAX_FAILURES:
            self._take_out_of_service(now)

    def probe_succeeded(self, now: Millis) -> None:
        """Record a successful probe, which allows a trial once the pause is over.

        The first one puts the upstream in service without a trial.
        """
        if self.health is Health.OUT and now >= self._out_until:
            first = self._out_until == 0
            self.health = Health.UP if first else Health.TRIAL
            self._failures = 0

    def probe_failed(self, now: Millis) -> None:
        """Record a failed probe; two in a row take the upstream out of service."""
        self._failures += 1
        if self._failures >= MAX_FAILURES - 1:
            self._take_out_of_service(now)

    def _take_out_of_service(self, now: Millis) -> None:
        if self.health is Health.OUT:
            return
        self.health = Health.OUT
        self._failures = 0
        self._out_until = now + self._pause
        self._pause = min(self._pause * 2, MAX_PAUSE)
