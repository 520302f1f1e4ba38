"""Whether an upstream takes work: out after failures, back by a trial. No I/O."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

MAX_FAILURES = 3
FIRST_PAUSE: Millis = 500
MAX_PAUSE: Millis = 10_000


class Health(StrEnum):
    """States of an upstream."""

    UP = "up"
    OUT = "out"
    TRIAL = "trial"


class Breaker:
    """Counts failures of requests and probes."""

    def __init__(self) -> None:
        self.health = Health.OUT
        self._failures = 0
        self._pause = FIRST_PAUSE
        self._out_until: Millis = 0

    def __repr__(self) -> str:
        return f"Breaker({self.health}, failures={self._failures})"

    def allowed_slots(self, slots: int) -> int:
        """Return how many of the slots may be used now."""
        match self.health:
            case Health.UP:
                return slots
            case Health.TRIAL:
                return min(slots, 1)
            case Health.OUT:
                return 0

    def request_succeeded(self) -> None:
        """Note that the upstream answered a request."""
        self._failures = 0
        if self.health is not Health.OUT:
            self.health = Health.UP
            self._pause = FIRST_PAUSE

    def request_failed(self, now: Millis) -> None:
        """Note that the upstream failed a request."""
        self._failures += 1
        if self.health is Health.TRIAL or self._failures >= MAX_FAILURES:
            self._take_out_of_service(now)

    def probe_succeeded(self, now: Millis) -> None:
        """Note a good probe: after the pause, one request may try."""
        if self.health is Health.OUT and now >= self._out_until:
            first = self._out_until == 0
            self.health = Health.UP if first else Health.TRIAL
            self._failures = 0

    def probe_failed(self, now: Millis) -> None:
        """Note a failed probe; two in a row take the upstream out."""
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
