"""How long an engine will take to its first token, learned from its answers. No I/O.

Engines of one pool differ: one may be five times slower than the others for a while,
and by the mean of the pool it would look like them. So each engine has an estimate of
its own, and one that has not answered yet is taken to be like the pool.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

FIRST_RATE = 50.0
"""Prompt tokens a millisecond that are assumed before anything was measured."""
FIRST_BASE = 45.0
"""Milliseconds to a first token with nothing to read, assumed before a measurement."""
LEAST_UNREAD = 2_000
"""Tokens ahead below which an answer tells the base rather than the rate."""
WEIGHT = 0.05
"""Weight of a new measurement; some twenty answers change the estimate."""
MIN_RATE = 5.0
MAX_RATE = 500.0
"""Bounds on the rate, so that a few odd answers cannot close or flood an engine."""
MAX_ENGINES = 10_000
"""Estimates kept: some 1 MB. Each start of an engine adds one."""


@dataclass(slots=True)
class FirstTokenEstimate:
    """Rate and base of one engine, or of all engines of a pool.

    Args:
        rate: Prompt tokens read in a millisecond.
        base: Milliseconds to a first token with nothing to read.
    """

    rate: float = FIRST_RATE
    base: float = FIRST_BASE

    def millis(self, unread: int) -> float:
        """Return the expected time to the first token behind so many prompt tokens."""
        return self.base + unread / self.rate

    def add_measurement(self, unread: int, millis: int) -> None:
        """Learn from an answer.

        Args:
            unread: Prompt tokens that were to be read when it was sent, its own
                included.
            millis: Time to its first token.
        """
        if unread < LEAST_UNREAD:
            self.base += WEIGHT * (millis - self.base)
            return
        reading = max(millis - self.base, 1.0)
        rate = min(max(unread / reading, MIN_RATE), MAX_RATE)
        # The mean of the inverse, for waiting times add up and rates do not.
        self.rate = 1 / (1 / self.rate + WEIGHT * (1 / rate - 1 / self.rate))


class EstimateTable:
    """What was learned of each engine and of each pool."""

    def __init__(self) -> None:
        self._engines: dict[Incarnation, FirstTokenEstimate] = {}
        self._pools: dict[str, FirstTokenEstimate] = {}

    def __repr__(self) -> str:
        return f"EstimateTable(engines={len(self._engines)}, pools={self._pools!r})"

    def engine(self, row: Registration) -> FirstTokenEstimate:
        """Return the estimate of an engine, or its pool's before its first answer."""
        return self._engines.get(row.incarnation) or self.pool(row.pool)

    def pool(self, pool: str) -> FirstTokenEstimate:
        """Return the estimate of all engines of a pool together."""
        return self._pools.setdefault(pool, FirstTokenEstimate())

    def add_measurement(self, row: Registration, unread: int, millis: int) -> None:
        """Add a measurement; see `FirstTokenEstimate.add_measurement`."""
        pool = self.pool(row.pool)
        engine = self._engines.get(row.incarnation)
        if engine is None:
            engine = FirstTokenEstimate(pool.rate, pool.base)
            self._engines[row.incarnation] = engine
            self._bound()
        engine.add_measurement(unread, millis)
        pool.add_measurement(unread, millis)

    def _bound(self) -> None:
        while len(self._engines) > MAX_ENGINES:
            del self._engines[next(iter(self._engines))]
