"""A replica's table of upstreams that send it heartbeats. No I/O.

The table is soft state: it is rebuilt from heartbeats after a restart. Only leaving is
replicated (`leadseam.control.state.Leave`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from leadseam.wire.feed import Registration

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation

DEFAULT_HEARTBEAT: Millis = 1_000
"""Heartbeat interval of upstreams where the settings give none."""
MISSED_HEARTBEATS = 6
"""Heartbeats that may be missing before an upstream is dropped. They may come seconds
late, and entries find dead upstreams by themselves, so this is only housekeeping."""
MAX_STEP: Millis = 1_000
"""Time between two looks that counts as listening: twice their interval. A box that
stood still for longer has received nothing, which says nothing of them."""
COLD_TOLERANCE: Millis = 500
"""Change of the end of a cold time below which entries are not told: heartbeats come as
late as that."""
MAX_ROWS = 10_000
"""Upstreams heard at a time: some 5 MB, and far more than a fleet has."""


@dataclass(slots=True)
class _Row:
    registration: Registration
    heard_at: Millis

    @property
    def cold_until(self) -> Millis:
        """Until when the upstream is cold; when it was heard if it is not."""
        return self.heard_at + self.registration.cold_remaining


class Registry:
    """Upstreams heard by this replica, the latest start of each.

    Args:
        heartbeat_interval: Milliseconds between the heartbeats of an upstream.
    """

    def __init__(self, heartbeat_interval: Millis) -> None:
        self._limit = heartbeat_interval * MISSED_HEARTBEATS
        self._rows: dict[str, _Row] = {}
        self._looked_at: Millis | None = None

    def __repr__(self) -> str:
        return f"Registry(upstreams={len(self._rows)})"

    def heartbeat(self, registration: Registration, now: Millis) -> bool:
        """Take a heartbeat; one that is older than the last one heard never counts.

        A later start counts at once, whatever its sequence; an earlier one never does
        as long as the later one is heard. Beyond `MAX_ROWS` no new upstream is taken.

        Returns:
            Whether entries have to hear of it.
        """
        row = self._rows.get(registration.instance)
        if row is None:
            if len(self._rows) >= MAX_ROWS:
                return False
            self._rows[registration.instance] = _Row(registration, now)
            return True
        if not _is_newer(registration, row.registration):
            return False
        changed = _substance(registration) != _substance(row.registration)
        changed = changed or _cold_moved(row, registration, now)
        row.registration = registration
        row.heard_at = now
        return changed

    def remove(self, incarnation: Incarnation) -> None:
        """Forget an upstream that has left, unless it has started again since."""
        row = self._rows.get(incarnation.instance)
        if row is not None and row.registration.incarnation.start <= incarnation.start:
            del self._rows[incarnation.instance]

    def expire(self, now: Millis) -> tuple[Incarnation, ...]:
        """Drop and return the upstreams that have been silent for too long.

        To be called again and again, more often than every `MAX_STEP`.
        """
        self._leave_out_standstill(now)
        lost = tuple(
            row.registration.incarnation
            for row in self._rows.values()
            if now - row.heard_at > self._limit
        )
        for incarnation in lost:
            del self._rows[incarnation.instance]
        return lost

    def _leave_out_standstill(self, now: Millis) -> None:
        """Count no time in which this box could not listen."""
        before, self._looked_at = self._looked_at, now
        if before is None or now - before <= MAX_STEP:
            return
        for row in self._rows.values():
            row.heard_at = min(row.heard_at + now - before - MAX_STEP, now)

    def is_registered(self, registration: Registration) -> bool:
        """Tell whether this start of an upstream is heard here, for the same pool."""
        row = self._rows.get(registration.instance)
        if row is None or row.registration.incarnation != registration.incarnation:
            return False
        return row.registration.pool == registration.pool

    def start_of(self, instance: str) -> int | None:
        """Return the start of an upstream that is heard here, or None."""
        row = self._rows.get(instance)
        return row.registration.incarnation.start if row is not None else None

    @property
    def reports_start_times(self) -> bool:
        """Whether an upstream that is heard here states its start."""
        return any(row.registration.incarnation.start for row in self._rows.values())

    def rows(self) -> tuple[Registration, ...]:
        """Return all rows, for an entry that knows nothing."""
        return tuple(row.registration for row in self._rows.values())


def _is_newer(registration: Registration, known: Registration) -> bool:
    if registration.incarnation != known.incarnation:
        return registration.incarnation.replaces(known.incarnation)
    return registration.sequence > known.sequence


def _cold_moved(row: _Row, registration: Registration, now: Millis) -> bool:
    """Tell whether an upstream is cold for longer, or warm sooner, than it was."""
    expected = max(row.cold_until - now, 0)
    return abs(registration.cold_remaining - expected) > COLD_TOLERANCE


def _substance(registration: Registration) -> Registration:
    """Return a registration without what changes from heartbeat to heartbeat."""
    return msgspec.structs.replace(registration, sequence=0, cold_remaining=0)
