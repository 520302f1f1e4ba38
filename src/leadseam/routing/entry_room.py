"""Decides whether a busy entry redirects callers to other entries. No I/O.

Callers are spread over entries by a hash, whatever the entries' sizes, and a flooding
account sends all its requests to one entry. That entry then has no processor time left
while the others are idle. A caller that is refused retries at another entry of its
failure domain, so it is told to retry almost at once if most of those have room.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.wire.feed import DomainRoom, EntryRoom

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


class EntryRooms:
    """Which other entries of the failure domain have room, as the load sums state.

    Args:
        failure_domain: Failure domain of this entry.
        enabled: Whether this entry knows its own limits, and thus whether it has room.
    """

    def __init__(self, failure_domain: str = "", *, enabled: bool = False) -> None:
        self._failure_domain = failure_domain
        self.enabled = enabled
        self._others = 0
        self._others_with_room = 0
        self._applied_at: Millis = -MAX_AGE

    def __repr__(self) -> str:
        return f"EntryRooms(others={self._others}, with_room={self._others_with_room})"

    def apply(
        self, rooms: Iterable[DomainRoom], own: EntryRoom | None, now: Millis
    ) -> None:
        """Apply the rooms of all entries.

        Args:
            rooms: Rooms by failure domain. If this entry's domain is missing, nothing
                is known of its entries.
            own: What this entry stated in the report that the sums contain. If it is
                not known, the entry is taken for one of those with room, so that the
                others are not overestimated.
            now: Current time.
        """
        if not self.enabled:
            return
        rows = [row for row in rooms if row.failure_domain == self._failure_domain]
        own_room = own is None or own.has_room
        self._others = max(sum(row.entries for row in rows) - 1, 0)
        self._others_with_room = max(sum(row.with_room for row in rows) - own_room, 0)
        self._applied_at = now

    def others_with_room(self, now: Millis) -> int:
        """Return the number of other entries of the failure domain that have room."""
        return self._others_with_room if self._is_current(now) else 0

    def redirects(self, now: Millis) -> bool:
        """Return whether this entry, if busy, redirects callers to the others."""
        if self._others + 1 < MIN_ENTRIES or not self._is_current(now):
            return False
        return self._others_with_room >= MIN_PART_WITH_ROOM * self._others

    def _is_current(self, now: Millis) -> bool:
        return now - self._applied_at <= MAX_AGE
