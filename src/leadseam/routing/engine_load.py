"""How much of the capacity of engines is in use. No I/O.

While demand is low, engines provide little service because little is requested. When an
account then floods, much of the requested service has not been received, although the
engines are idle. Without a measure of their load, the service received was taken for
their capacity: fair shares shrank to a few percent of it, and 243 of 300 refusals in
two seconds were of accounts that had received an ordinary amount.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.routing.load import Load

LOADED_PART = 0.5
"""Mean used part from which engines count as loaded; see `MAX_USED_PART`."""
FULL_PART = 0.75
"""Mean used part that counts as fully used. Entries learn of a free engine with a
delay of one to three intervals of the sums, and prompts do not fit into the last part
of its memory, so a backlog does not keep engines in use all the time."""


@dataclass(frozen=True, slots=True)
class EngineUse:
    """An engine's limits, and the load of all entries at it.

    Args:
        slots: Requests that run concurrently.
        memory_tokens: Tokens of its memory that may be filled.
        load: Load that all entries have in flight at it.
    """

    slots: int
    memory_tokens: int
    load: Load

    def used_part(self) -> float:
        """Return the used part of the resource that is closest to its limit."""
        if self.load.unread:
            return 1.0
        slots = self.load.requests / max(self.slots, 1)
        memory = self.load.memory / max(self.memory_tokens, 1)
        return min(max(slots, memory), 1.0)


def mean_used_part(engines: Iterable[EngineUse]) -> float | None:
    """Return the mean used part of the engines of a pool; None if there are none."""
    parts = [engine.used_part() for engine in engines]
    return sum(parts) / len(parts) if parts else None


class LoadAverage:
    """Exponential average of the used part of the engines of the most loaded pool.

    It starts at zero and decays like the counts of recent service, so the quotient of
    both estimates the capacity even while demand rises or falls.

    Args:
        decay_time: Time constant of the average.
    """

    def __init__(self, decay_time: Millis) -> None:
        self._decay_time = decay_time
        self._at: Millis | None = None
        self._value = 0.0

    def __repr__(self) -> str:
        return f"LoadAverage({self._value:.2f})"

    def add(self, pools: Iterable[float | None], now: Millis) -> float:
        """Add the used parts of all engine pools and return the average.

        Returns:
            The average; 1 if no pool has engines, as there is no evidence of idle ones.
        """
        parts = [part for part in pools if part is not None]
        if not parts:
            return 1.0
        age = max(now - self._at, 0) if self._at is not None else 0
        self._value += (1 - exp(-age / self._decay_time)) * (max(parts) - self._value)
        self._at = now
        return self._value


def reachable_service(served: int, used_part: float) -> int:
    """Return the service that engines provide if fully used.

    Args:
        served: Service that they provided.
        used_part: Used part of the engines in the same time.
    """
    return round(served / min(max(used_part, LOADED_PART) / FULL_PART, 1.0))
