"""Decides whether a busy entry redirects callers to other entries. No I/O.

Callers are spread over entries by a hash, whatever the entries' sizes, and a flooding
account sends all its requests to one entry. That entry then has no processor time left
while the others are idle. A caller that is refused retries at another entry of its
failure domain, so it is told to retry almost at once if most of those have room.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.wire.feed import EntryRoom

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.wire.feed import DomainRoom

MIN_ENTRIES = 4
"""Entries of a failure domain below which callers are not redirected: with fewer, many
retries reach the same entry again."""
MIN_PART_WITH_ROOM = 0.5
"""Fraction of the other entries that must have room. A redirected caller reaches any of
them and has one retry, so it must be more likely than not to be served."""
MAX_AGE: Millis = 1_000
"""Age above which the rooms of other entries are ignored: five times the longest
interval of load reports."""
FIRST_PAUSE: Millis = 1
LAST_PAUSE: Millis = 20
"""Bounds of the pause of a redirected caller. They spread callers that are refused
together over a few measurements of the event loop's lag."""


@dataclass(slots=True)
class EntryRooms:
    """Which entries have room, as the load totals state.

    Args:
        failure_domain: Failure domain of this entry.
        enabled: Whether this entry knows its own limits, and thus whether it has room.
    """

    failure_domain: str = ""
    enabled: bool = False
    _has_room: bool = True
    _others: int = 0
    _others_with_room: int = 0
    _applied_at: Millis = -MAX_AGE

    def report(self, *, has_room: bool) -> EntryRoom | None:
        """Return what this entry reports of itself, or None if it cannot tell."""
        if not self.enabled:
            return None
        self._has_room = has_room
        return EntryRoom(self.failure_domain, has_room)

    def apply(self, rooms: Iterable[DomainRoom], now: Millis) -> None:
        """Apply the rooms of all entries, which contain this entry's last report."""
        for row in rooms:
            if row.failure_domain == self.failure_domain:
                self._others = row.entries - 1
                self._others_with_room = row.with_room - self._has_room
                self._applied_at = now

    def others_with_room(self, now: Millis) -> int:
        """Return the number of other entries of the failure domain that have room."""
        return max(self._others_with_room, 0) if self._is_current(now) else 0

    def redirects(self, now: Millis) -> bool:
        """Return whether this entry, if busy, redirects callers to the others."""
        if not self.enabled or not self._is_current(now):
            return False
        if self._others + 1 < MIN_ENTRIES:
            return False
        return self._others_with_room >= MIN_PART_WITH_ROOM * self._others

    def _is_current(self, now: Millis) -> bool:
        return now - self._applied_at <= MAX_AGE
