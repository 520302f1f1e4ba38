"""Whether the engines of a pool run out of memory before they run out of slots. No I/O.

Prompt parts are evicted soon where memory is the limit. Only there is it worth knowing
which engine holds a part, and fetching it instead of prefilling it again.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.routing.balance import EXPECTED_GENERATED

if TYPE_CHECKING:
    from leadseam.control.routes import EngineProfile
    from leadseam.routing.dialect import RoutedRequest

BOUND_FROM = 0.75
"""Share of an engine's memory that a request in each slot would fill, on average, above
which the pool is memory-bound. It is 1.0 and 1.8 for the pools that need this, and 0.53
and less for all earlier ones."""
BOUND_UNTIL = 0.65
"""Share below which a pool is no longer memory-bound."""
MIN_REQUESTS = 50
"""Requests before which a pool is not judged; their sizes differ by a factor of 10."""
MEASUREMENT_WEIGHT = 0.005
"""Least weight of a request in the mean: about the last 400 requests count, which keeps
the mean's standard error below 5% for the mixes in use."""


@dataclass(slots=True)
class _Mean:
    """Mean tokens of the recent requests of a pool.

    Args:
        tokens: Mean of prompt tokens and expected generated tokens.
        requests: Number of requests, counted up to `1 / MEASUREMENT_WEIGHT`.
        bound: Whether the pool is memory-bound.
    """

    tokens: float = 0.0
    requests: int = 0
    bound: bool = False


class MemoryPressure:
    """Mean sizes of the recent requests of each engine pool."""

    def __init__(self) -> None:
        self._pools: dict[str, _Mean] = {}

    def __repr__(self) -> str:
        return f"MemoryPressure(pools={len(self._pools)})"

    def record(self, pool: str, req: RoutedRequest) -> None:
        """Count a request in the mean of its pool."""
        mean = self._pools.setdefault(pool, _Mean())
        mean.requests = min(mean.requests + 1, round(1 / MEASUREMENT_WEIGHT))
        tokens = req.tokens_in + min(req.tokens_out, EXPECTED_GENERATED)
        mean.tokens += (tokens - mean.tokens) / mean.requests

    def is_memory_bound(self, pool: str, profile: EngineProfile) -> bool:
        """Return whether memory limits the engines of a pool rather than slots."""
        mean = self._pools.get(pool)
        if mean is None or mean.requests < MIN_REQUESTS:
            return False
        limit = BOUND_UNTIL if mean.bound else BOUND_FROM
        mean.bound = mean.tokens * profile.slots > limit * profile.memory_tokens
        return mean.bound

    def mean_tokens(self, pool: str) -> int:
        """Return the mean tokens of a pool's recent requests; 0 if there are none."""
        mean = self._pools.get(pool)
        return round(mean.tokens) if mean is not None else 0

    def bound_pools(self) -> int:
        """Return the number of pools that were memory-bound when last checked."""
        return sum(mean.bound for mean in self._pools.values())
