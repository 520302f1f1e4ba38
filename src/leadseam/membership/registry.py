"""A replica's table of upstreams that send it heartbeats. No I/O.

The table is soft state: it is rebuilt from heartbeats after a restart. Only departures
are replicated (`leadseam.control.state.Leave`).
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
"""Heartbeat interval of upstreams if the settings give none."""
MISSED_HEARTBEATS = 6
"""Heartbeats that may be missing before an upstream is dropped. Heartbeats may arrive
seconds late, and entries detect dead upstreams by themselves, so the limit only serves
to clean up."""
MAX_EXPIRE_INTERVAL: Millis = 1_000
"""Longest time between two calls of `expire` that counts as silence of an upstream:
twice the interval of the calls. A box that was stopped for longer has received nothing
meanwhile, which is no evidence that upstreams were silent."""
COLD_TOLERANCE: Millis = 500
"""Change of the end of a cold period up to which entries are not notified: heartbeats
are delayed by as much."""
MAX_ROWS = 10_000
"""Most upstreams in the table: some 5 MB, and far more than a fleet has."""


@dataclass(slots=True)
class _Row:
    """The last registration of an upstream, and when it arrived."""

    registration: Registration
    last_heartbeat: Millis

    @property
    def cold_until(self) -> Millis:
        """When the upstream stops being cold; its last heartbeat if it is not cold."""
        return self.last_heartbeat + self.registration.cold_remaining


class Registry:
    """Upstreams that send heartbeats to this replica, with the latest start of each.

    Args:
        heartbeat_interval: Milliseconds between the heartbeats of an upstream.
    """

    def __init__(self, heartbeat_interval: Millis) -> None:
        self._limit = heartbeat_interval * MISSED_HEARTBEATS
        self._rows: dict[str, _Row] = {}
        self._expired_at: Millis | None = None

    def __repr__(self) -> str:
        return f"Registry(upstreams={len(self._rows)})"

    def heartbeat(self, registration: Registration, now: Millis) -> bool:
        """Process a heartbeat, unless it is older than the last one received.

        A later start of the upstream counts at once, whatever its sequence. An earlier
        start is ignored while the later one is registered. Beyond `MAX_ROWS`, no new
        upstream is added.

        Returns:
            Whether entries have to be notified.
        """
        row = self._rows.get(registration.instance)
        if row is None:
            if len(self._rows) >= MAX_ROWS:
                return False
            self._rows[registration.instance] = _Row(registration, now)
            return True
        if not _is_newer(registration, row.registration):
            return False
        changed = _stable_fields(registration) != _stable_fields(row.registration)
        changed = changed or _cold_end_changed(row, registration, now)
        row.registration = registration
        row.last_heartbeat = now
        return changed

    def remove(self, incarnation: Incarnation) -> None:
        """Remove an upstream that has left, unless it has started again since."""
        row = self._rows.get(incarnation.instance)
        if row is not None and row.registration.incarnation.start <= incarnation.start:
            del self._rows[incarnation.instance]

    def expire(self, now: Millis) -> tuple[Incarnation, ...]:
        """Remove and return the upstreams whose heartbeats are overdue.

        Must be called periodically, more often than every `MAX_EXPIRE_INTERVAL`.
        """
        self._exclude_standstill(now)
        expired = tuple(
            row.registration.incarnation
            for row in self._rows.values()
            if now - row.last_heartbeat > self._limit
        )
        for incarnation in expired:
            del self._rows[incarnation.instance]
        return expired

    def _exclude_standstill(self, now: Millis) -> None:
        """Exclude time in which this box could not receive heartbeats."""
        before, self._expired_at = self._expired_at, now
        if before is None or now - before <= MAX_EXPIRE_INTERVAL:
            return
        for row in self._rows.values():
            row.last_heartbeat = min(
                row.last_heartbeat + now - before - MAX_EXPIRE_INTERVAL, now
            )

    def is_registered(self, registration: Registration) -> bool:
        """Return whether this start of an upstream is registered for the same pool."""
        row = self._rows.get(registration.instance)
        if row is None or row.registration.incarnation != registration.incarnation:
            return False
        return row.registration.pool == registration.pool

    def start_of(self, instance: str) -> int | None:
        """Return the start of an upstream that is in the table, or None."""
        row = self._rows.get(instance)
        return row.registration.incarnation.start if row is not None else None

    @property
    def reports_start_times(self) -> bool:
        """Whether any upstream in the table reports its start."""
        return any(row.registration.incarnation.start for row in self._rows.values())

    def rows(self) -> tuple[Registration, ...]:
        """Return all registrations, for an entry that connects."""
        return tuple(row.registration for row in self._rows.values())


def _is_newer(registration: Registration, known: Registration) -> bool:
    if registration.incarnation != known.incarnation:
        return registration.incarnation.replaces(known.incarnation)
    return registration.sequence > known.sequence


def _cold_end_changed(row: _Row, registration: Registration, now: Millis) -> bool:
    """Return whether the cold period now ends later or sooner than reported before."""
    expected = max(row.cold_until - now, 0)
    return abs(registration.cold_remaining - expected) > COLD_TOLERANCE


def _stable_fields(registration: Registration) -> Registration:
    """Return a registration without the fields that change with every heartbeat."""
    return msgspec.structs.replace(registration, sequence=0, cold_remaining=0)
