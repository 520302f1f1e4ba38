"""Whether the engines of a pool have spare capacity. No I/O.

Accounts ahead of others leave capacity to short ones. An account may be short for a
reason other than the engines, for example when all its callers use one busy entry.
While engines are idle, holding back the others helps no account. Accounts far ahead of
a short one stay stopped. This module handles floods that come through few entries to
engines with many slots.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.routing.engine_order import MAX_CANDIDATES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from leadseam.clock import Millis
    from leadseam.routing.load import Load
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

MAX_USED_PART = 0.5
"""Fraction of used slots, and of engines with something to read, below which there is
spare capacity. What accounts beyond their share take then leaves at least as much to
others."""
CACHE_TIME: Millis = 50
"""Time for which the answer for a large pool is cached: the shortest interval between
two load totals."""


@dataclass(frozen=True, slots=True)
class _CachedAnswer:
    at: Millis
    spare: bool


class SpareCapacity:
    """Checks the loads of all engines of a scope; answers for large pools are cached.

    Args:
        candidates: Returns the usable engines of a scope.
        total: Returns the load that all entries have in flight at an engine.
    """

    def __init__(
        self,
        candidates: Callable[[Scope], Sequence[Registration]],
        total: Callable[[Registration, Millis], Load],
    ) -> None:
        self._candidates = candidates
        self._total = total
        self._cached: dict[Scope, _CachedAnswer] = {}

    def __repr__(self) -> str:
        return f"SpareCapacity({self._cached!r})"

    def has_spare(self, scope: Scope, now: Millis) -> bool:
        """Return whether the engines of a scope have spare capacity."""
        rows = self._candidates(scope)
        if len(rows) <= MAX_CANDIDATES:
            return self._check(rows, now)
        cached = self._cached.get(scope)
        if cached is None or not 0 <= now - cached.at < CACHE_TIME:
            cached = self._cached[scope] = _CachedAnswer(now, self._check(rows, now))
        return cached.spare

    def _check(self, rows: Sequence[Registration], now: Millis) -> bool:
        return has_spare_capacity((row.slots, self._total(row, now)) for row in rows)


def has_spare_capacity(engines: Iterable[tuple[int, Load]]) -> bool:
    """Return whether engines have spare capacity, given their slots and loads."""
    total_slots = taken = count = engines_reading = 0
    for slots, load in engines:
        total_slots += slots
        taken += load.requests
        count += 1
        engines_reading += load.unread > 0
    return (
        taken < MAX_USED_PART * total_slots and engines_reading < MAX_USED_PART * count
    )
