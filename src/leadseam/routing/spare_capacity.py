"""Whether the engines of a pool have room to spare. No I/O.

Accounts ahead of others leave room to those that are short. An account may be short for
another reason than engines, as when all its callers use one busy entry; while engines
stand idle nobody gains if others are held back. Those that are far ahead of one that is
short stay stopped. The load that this answers: floods that come through few entries,
before engines with many places.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.routing.engine_order import MAX_LOOKED

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from leadseam.clock import Millis
    from leadseam.routing.load import Load
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

SPARE_PART = 0.5
"""Part of the places, and of the engines with something to read, below which there is
room to spare: what accounts beyond their share take then leaves as much to others."""
KEPT: Millis = 50
"""Time for which an answer on a large pool is kept: the shortest interval of shared
loads."""


@dataclass(frozen=True, slots=True)
class _Known:
    at: Millis
    spare: bool


class SpareRoom:
    """Looks at the loads of all engines of a scope, now and then.

    Args:
        candidates: Returns the engines of a scope that may be used.
        total: Returns what all entries have in flight at an engine.
    """

    def __init__(
        self,
        candidates: Callable[[Scope], Sequence[Registration]],
        total: Callable[[Registration, Millis], Load],
    ) -> None:
        self._candidates = candidates
        self._total = total
        self._known: dict[Scope, _Known] = {}

    def __repr__(self) -> str:
        return f"SpareRoom({self._known!r})"

    def there_is(self, scope: Scope, now: Millis) -> bool:
        """Tell whether the engines of a scope have room to spare."""
        rows = self._candidates(scope)
        if len(rows) <= MAX_LOOKED:
            return self._look(rows, now)
        known = self._known.get(scope)
        if known is None or not 0 <= now - known.at < KEPT:
            known = self._known[scope] = _Known(now, self._look(rows, now))
        return known.spare

    def _look(self, rows: Sequence[Registration], now: Millis) -> bool:
        return has_spare_room((row.slots, self._total(row, now)) for row in rows)


def has_spare_room(engines: Iterable[tuple[int, Load]]) -> bool:
    """Tell whether engines have room to spare, by their places and loads."""
    places = taken = count = reading = 0
    for slots, load in engines:
        places += slots
        taken += load.requests
        count += 1
        reading += load.unread > 0
    return taken < SPARE_PART * places and reading < SPARE_PART * count
