"""A replica's table of upstreams that send it heartbeats. No I/O.

The table is soft state: it is rebuilt from heartbeats after a restart. Only leaving is
replicated (`leadseam.control.state.Leave`).
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from leadseam.wire.messages import Registration

if TYPE_CHECKING:
    from leadseam.clock import Millis

MISSED_HEARTBEATS = 6
"""Heartbeats that may be missing before an upstream is dropped. They may come seconds
late, and entries find dead upstreams by themselves, so this is only housekeeping."""


@dataclass(slots=True)
class _Row:
    registration: Registration
    heard_at: Millis


class Registry:
    """Upstreams heard by this replica, by incarnation.

    Args:
        heartbeat_interval: Milliseconds between the heartbeats of an upstream.
    """

    def __init__(self, heartbeat_interval: Millis) -> None:
        self._limit = heartbeat_interval * MISSED_HEARTBEATS
        self._rows: dict[str, _Row] = {}

    def __repr__(self) -> str:
        return f"Registry(upstreams={len(self._rows)})"

    def heartbeat(self, registration: Registration, now: Millis) -> bool:
        """Take a heartbeat; one that is older than the last one heard never counts.

        Returns:
            Whether entries have to hear of it.
        """
        row = self._rows.get(registration.instance)
        if row is None:
            self._rows[registration.instance] = _Row(registration, now)
            return True
        if registration.sequence <= row.registration.sequence:
            return False
        changed = _substance(registration) != _substance(row.registration)
        row.registration = registration
        row.heard_at = now
        return changed

    def remove(self, instance: str) -> None:
        """Forget an upstream that has left."""
        self._rows.pop(instance, None)

    def expire(self, now: Millis) -> tuple[str, ...]:
        """Drop and return the upstreams that have been silent for too long."""
        lost = tuple(
            instance
            for instance, row in self._rows.items()
            if now - row.heard_at > self._limit
        )
        for instance in lost:
            del self._rows[instance]
        return lost

    def rows(self) -> tuple[Registration, ...]:
        """Return all rows, for an entry that knows nothing."""
        return tuple(row.registration for row in self._rows.values())


def _substance(registration: Registration) -> Registration:
    """Return a registration without what changes from heartbeat to heartbeat."""
    return msgspec.structs.replace(registration, sequence=0, cold_left=0)
