"""Estimates of the time to an engine's first token, from measured answers. No I/O.

Engines of one pool differ: one may be five times slower than the others for a while,
which an average over the pool would hide. So each engine has its own estimate. An
engine that has not answered yet is assumed to match the estimate of its pool.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

INITIAL_RATE = 50.0
"""Prompt tokens per millisecond assumed before the first measurement."""
INITIAL_BASE = 45.0
"""Milliseconds to a first token with nothing to read, before the first measurement."""
MIN_UNREAD_FOR_RATE = 2_000
"""Unread tokens below which a measurement updates the base instead of the rate."""
MEASUREMENT_WEIGHT = 0.05
"""Weight of a new measurement in the moving average; about twenty answers change the
estimate."""
MIN_RATE = 5.0
MAX_RATE = 500.0
"""Bounds on the rate, so that a few outliers cannot starve or flood an engine."""
MAX_ENGINES = 10_000
"""Maximum kept estimates, about 1 MB. Each start of an engine adds one."""


@dataclass(slots=True)
class FirstTokenEstimate:
    """Rate and base of one engine, or of all engines of a pool.

    Args:
        rate: Prompt tokens read per millisecond.
        base: Milliseconds to a first token with nothing to read.
    """

    rate: float = INITIAL_RATE
    base: float = INITIAL_BASE

    def millis(self, unread: int) -> float:
        """Return the expected milliseconds to the first token after unread tokens."""
        return self.base + unread / self.rate

    def add_measurement(self, unread: int, millis: int) -> None:
        """Update the estimate from an answer.

        Args:
            unread: Prompt tokens that the engine had to read when the request was sent,
                including those of the request.
            millis: Milliseconds to the first token.
        """
        if unread < MIN_UNREAD_FOR_RATE:
            self.base += MEASUREMENT_WEIGHT * (millis - self.base)
            return
        reading = max(millis - self.base, 1.0)
        rate = min(max(unread / reading, MIN_RATE), MAX_RATE)
        # Averages the inverse rate, because reading times add up and rates do not.
        self.rate = 1 / (
            1 / self.rate + MEASUREMENT_WEIGHT * (1 / rate - 1 / self.rate)
        )


class EstimateTable:
    """The estimates of each engine and of each pool."""

    def __init__(self) -> None:
        self._engines: dict[Incarnation, FirstTokenEstimate] = {}
        self._pools: dict[str, FirstTokenEstimate] = {}

    def __repr__(self) -> str:
        return f"EstimateTable(engines={len(self._engines)}, pools={self._pools!r})"

    def engine(self, row: Registration) -> FirstTokenEstimate:
        """Return the estimate of an engine, or of its pool before its first answer."""
        return self._engines.get(row.incarnation) or self.pool(row.pool)

    def pool(self, pool: str) -> FirstTokenEstimate:
        """Return the estimate over all engines of a pool."""
        return self._pools.setdefault(pool, FirstTokenEstimate())

    def add_measurement(self, row: Registration, unread: int, millis: int) -> None:
        """Add a measurement; see `FirstTokenEstimate.add_measurement`."""
        pool = self.pool(row.pool)
        engine = self._engines.get(row.incarnation)
        if engine is None:
            engine = FirstTokenEstimate(pool.rate, pool.base)
            self._engines[row.incarnation] = engine
            self._evict_oldest()
        engine.add_measurement(unread, millis)
        pool.add_measurement(unread, millis)

    def _evict_oldest(self) -> None:
        while len(self._engines) > MAX_ENGINES:
            del self._engines[next(iter(self._engines))]
