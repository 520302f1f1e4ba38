"""An entry's view of the registered upstreams, merged from several replicas. No I/O.

Each replica reports the upstreams that it hears. An upstream is known for as long as
one of them holds it. What a lost replica held is kept for a while, for its upstreams
turn to another replica or it comes back empty.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.membership.addresses import AddressBook

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from leadseam.wire.messages import Registration

KEPT_AFTER_LOSS: Millis = 12_000
"""How long a lost replica's upstreams are kept: ten heartbeats of 1.2 s."""
MAX_LEFT = 10_000
"""Left upstreams remembered: as many as a control replica remembers."""


@dataclass(slots=True)
class _Known:
    """An upstream, and until when each replica holds it; None without an end."""

    registration: Registration
    until: dict[str, Millis | None] = field(default_factory=dict)


class UpstreamView:
    """Upstreams known to an entry, by incarnation."""

    def __init__(self) -> None:
        self._known: dict[str, _Known] = {}
        self._left: dict[str, None] = {}
        self._by_pool: dict[str, list[Registration]] | None = None
        self._addresses = AddressBook()

    def __repr__(self) -> str:
        return f"UpstreamView(known={len(self._known)}, left={len(self._left)})"

    def connected(self, replica: str, now: Millis) -> None:
        """Note that a replica reports anew; what it held and omits ends later."""
        self._end_later(replica, now)

    def disconnected(self, replica: str, now: Millis) -> None:
        """Note that a replica no longer reports."""
        self._end_later(replica, now)

    def update(self, replica: str, rows: Iterable[Registration], now: Millis) -> None:
        """Take rows that a replica holds."""
        for row in rows:
            if row.instance in self._left:
                continue
            known = self._known.get(row.instance)
            if known is None:
                known = self._known[row.instance] = _Known(row)
                self._addresses.claim(row, now)
            elif row.sequence > known.registration.sequence:
                known.registration = row
            known.until[replica] = None
            self._by_pool = None

    def expired(self, replica: str, instances: Iterable[str]) -> None:
        """A replica no longer hears these."""
        for instance in instances:
            known = self._known.get(instance)
            if known is not None:
                known.until.pop(replica, None)
                self._drop_if_unheld(instance, known)

    def left(self, instances: Iterable[str]) -> tuple[str, ...]:
        """Take upstreams that leave for good; return those not known as such yet."""
        fresh = tuple(name for name in instances if name not in self._left)
        for instance in fresh:
            self._left[instance] = None
            known = self._known.pop(instance, None)
            if known is not None:
                self._forget(known)
        while len(self._left) > MAX_LEFT:
            del self._left[next(iter(self._left))]
        return fresh

    def answered(self, instance: str, now: Millis) -> None:
        """Note that an upstream has answered a request that was meant for it."""
        if instance in self._known:
            self._addresses.answered(instance, now)

    def misdirected(self, instance: str) -> bool:
        """Note that another incarnation answers at an upstream's address.

        Returns:
            Whether another one is known there, which gets the work from now on.
        """
        known = self._known.get(instance)
        if known is None or not self._addresses.misdirected(known.registration):
            return False
        self._by_pool = None
        return True

    def sweep(self, now: Millis) -> None:
        """Drop what nobody has held for `KEPT_AFTER_LOSS`."""
        for instance, known in list(self._known.items()):
            for replica, until in list(known.until.items()):
                if until is not None and now >= until:
                    del known.until[replica]
            self._drop_if_unheld(instance, known)

    def pool(self, name: str) -> Sequence[Registration]:
        """Return the upstreams of a pool that take new work."""
        if self._by_pool is None:
            self._by_pool = self._group()
        return self._by_pool.get(name, ())

    def _group(self) -> dict[str, list[Registration]]:
        grouped: dict[str, list[Registration]] = {}
        for known in self._known.values():
            row = known.registration
            if row.ready and self._addresses.holds(row):
                grouped.setdefault(row.pool, []).append(row)
        return grouped

    def _end_later(self, replica: str, now: Millis) -> None:
        """Let all that a replica holds end in time, unless it reports it anew."""
        until = now + KEPT_AFTER_LOSS
        for known in self._known.values():
            if known.until.get(replica, until) is None:
                known.until[replica] = until

    def _drop_if_unheld(self, instance: str, known: _Known) -> None:
        if not known.until and instance in self._known:
            del self._known[instance]
            self._forget(known)

    def _forget(self, known: _Known) -> None:
        self._addresses.drop(known.registration)
        self._by_pool = None
