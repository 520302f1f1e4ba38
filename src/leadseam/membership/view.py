"""An entry's view of the registered upstreams, merged from several replicas. No I/O.

Each replica reports the upstreams that it hears. An upstream is known for as long as
one of them holds it. What a lost replica held is kept for a while, for its upstreams
turn to another replica or it comes back empty.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.membership.addresses import AddressTable
from leadseam.membership.departures import Departures
from leadseam.membership.registry import DEFAULT_HEARTBEAT

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

KEPT_AFTER_LOSS: Millis = 12_000
"""How long a lost replica's upstreams are kept: ten heartbeats of 1.2 s."""
DOUBTED_HEARTBEATS = 3
"""Heartbeats for which upstreams count as cold once their failure domain is taken back:
they may have turned cold just before, and one heartbeat may be late."""


@dataclass(slots=True)
class _Known:
    """An upstream, and until when each replica holds it; None without an end."""

    registration: Registration
    cold_until: Millis = 0
    until: dict[str, Millis | None] = field(default_factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """Which start of the upstream it is."""
        return self.registration.incarnation


class UpstreamView:
    """Upstreams known to an entry, the latest start of each.

    Args:
        regions: Region of each failure domain.
        heartbeat_interval: Milliseconds between the heartbeats of an upstream.
    """

    def __init__(
        self,
        regions: Mapping[str, str] | None = None,
        *,
        heartbeat_interval: Millis = DEFAULT_HEARTBEAT,
    ) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self._regions = regions or {}
        self._doubt = DOUBTED_HEARTBEATS * heartbeat_interval
        self._evacuation_revision = 0
        self._doubted: dict[str, Millis] = {}
        self._last_cold: Millis = 0
        self._known: dict[str, _Known] = {}
        self._departed = Departures()
        self._by_pool: dict[str, list[Registration]] | None = None
        self._by_scope: dict[tuple[str, frozenset[str]], list[Registration]] = {}
        self._slots: dict[str, tuple[int, int]] = {}
        self._addresses = AddressTable()

    def __repr__(self) -> str:
        return f"UpstreamView(known={len(self._known)}, {self._departed!r})"

    def connected(self, replica: str, now: Millis) -> None:
        """Note that a replica reports anew; what it held and omits ends later."""
        self._end_later(replica, now)

    def disconnected(self, replica: str, now: Millis) -> None:
        """Note that a replica no longer reports."""
        self._end_later(replica, now)

    def update(
        self, replica: str, rows: Iterable[Registration], now: Millis
    ) -> tuple[Incarnation, ...]:
        """Take rows that a replica holds.

        Returns:
            Incarnations that are over, as a later start of theirs is known now.
        """
        taken = [row for row in rows if row.incarnation not in self._departed]
        over = [self._take(replica, row, now) for row in taken]
        return tuple(one for one in over if one is not None)

    def expired(self, replica: str, incarnations: Iterable[Incarnation]) -> None:
        """A replica no longer hears these."""
        for incarnation in incarnations:
            known = self._get(incarnation)
            if known is not None:
                known.until.pop(replica, None)
                self._drop_if_unheld(known)

    def left(self, incarnations: Iterable[Incarnation]) -> tuple[Incarnation, ...]:
        """Take upstreams that leave for good; return those not known as such yet."""
        fresh = tuple(one for one in incarnations if self._departed.add(one))
        for incarnation in fresh:
            known = self._known.get(incarnation.instance)
            if known is not None and known.incarnation in self._departed:
                del self._known[incarnation.instance]
                self._forget(known)
        return fresh

    def evacuate(self, revision: int, domains: Iterable[str], now: Millis) -> bool:
        """Send nothing to the upstreams of some failure domains from now on.

        Args:
            revision: Revision of the evacuations; an older one changes nothing.
            domains: All failure domains that are evacuated.
            now: Current time.

        Returns:
            Whether that is news.
        """
        if revision <= self._evacuation_revision:
            return False
        self._evacuation_revision = revision
        before, self.evacuated = self.evacuated, frozenset(domains)
        for domain in before - self.evacuated:
            self._doubted[domain] = now + self._doubt
            self._last_cold = max(self._last_cold, self._doubted[domain])
        self._by_pool = None
        return True

    def cold_until(self, row: Registration) -> Millis:
        """Return until when an upstream is taken to be cold; 0 if it is not."""
        known = self._known.get(row.incarnation.instance)
        if known is None or known.incarnation != row.incarnation:
            return 0
        return max(known.cold_until, self._doubted.get(row.failure_domain, 0))

    def all_warm(self, now: Millis) -> bool:
        """Tell whether no upstream at all is cold: so it is nearly always."""
        return now >= self._last_cold

    def available_fraction(self, pools: Iterable[str]) -> float:
        """Return the part of the places of some pools that is not evacuated."""
        self._pools()
        counts = [self._slots.get(pool, (0, 0)) for pool in pools]
        total = sum(every for _, every in counts)
        return sum(left for left, _ in counts) / total if total else 1.0

    def has_left(self, incarnation: Incarnation) -> bool:
        """Tell whether an upstream has announced its end."""
        return incarnation in self._departed

    def serves(self, incarnation: Incarnation) -> bool:
        """Tell whether an incarnation is heard, and holds its address."""
        known = self._get(incarnation)
        return known is not None and self._addresses.holds(known.registration)

    def answered(self, incarnation: Incarnation, now: Millis) -> None:
        """Note that an upstream has answered a request that was meant for it."""
        if self._get(incarnation) is not None:
            self._addresses.answered(incarnation, now)

    def misdirected(self, incarnation: Incarnation) -> bool:
        """Note that another incarnation answers at an upstream's address.

        Returns:
            Whether another one is known there, which gets the work from now on.
        """
        known = self._get(incarnation)
        if known is None or not self._addresses.misdirected(known.registration):
            return False
        self._by_pool = None
        return True

    def sweep(self, now: Millis) -> None:
        """Drop what nobody has held for `KEPT_AFTER_LOSS`."""
        for known in list(self._known.values()):
            for replica, until in list(known.until.items()):
                if until is not None and now >= until:
                    del known.until[replica]
            self._drop_if_unheld(known)

    def pool(
        self, name: str, regions: frozenset[str] | None = None
    ) -> Sequence[Registration]:
        """Return the upstreams of a pool that take new work.

        Args:
            name: The pool.
            regions: Regions in which they have to be, or None for any.
        """
        rows = self._pools().get(name, ())
        if regions is None:
            return rows
        key = (name, regions)
        if key not in self._by_scope:
            self._by_scope[key] = [
                row for row in rows if self._regions.get(row.failure_domain) in regions
            ]
        return self._by_scope[key]

    def _pools(self) -> dict[str, list[Registration]]:
        """Return the upstreams that take new work by pool, grouped anew if need be."""
        if self._by_pool is None:
            self._by_pool = self._group()
            self._by_scope.clear()
        return self._by_pool

    def _group(self) -> dict[str, list[Registration]]:
        grouped: dict[str, list[Registration]] = {}
        for known in self._known.values():
            row = known.registration
            if row.ready and self._addresses.holds(row):
                grouped.setdefault(row.pool, []).append(row)
        stated = {pool: _with_starts(rows) for pool, rows in grouped.items()}
        left = {pool: self._not_evacuated(rows) for pool, rows in stated.items()}
        self._slots = {
            pool: (_slots_of(left[pool]), _slots_of(rows))
            for pool, rows in stated.items()
        }
        return left

    def _not_evacuated(self, rows: list[Registration]) -> list[Registration]:
        return [row for row in rows if row.failure_domain not in self.evacuated]

    def _take(self, replica: str, row: Registration, now: Millis) -> Incarnation | None:
        """Take a row; return the incarnation that it replaces, if any."""
        over = None
        known = self._known.get(row.instance)
        if known is None:
            known = self._known[row.instance] = _Known(row)
            self._note_cold(known, now)
            self._addresses.claim(row, now)
        elif row.incarnation.replaces(known.incarnation):
            over = known.incarnation
            self._addresses.succeed(known.registration, row)
            known = self._known[row.instance] = _Known(row)
            self._note_cold(known, now)
        elif row.incarnation != known.incarnation:
            # A replica that has not heard of the later start yet.
            return None
        elif row.sequence > known.registration.sequence:
            known.registration = row
            self._note_cold(known, now)
        known.until[replica] = None
        self._by_pool = None
        return over

    def _note_cold(self, known: _Known, now: Millis) -> None:
        left = known.registration.cold_remaining
        known.cold_until = now + left if left else 0
        self._last_cold = max(self._last_cold, known.cold_until)

    def _get(self, incarnation: Incarnation) -> _Known | None:
        """Return what is known of an incarnation that is still the latest."""
        known = self._known.get(incarnation.instance)
        if known is None or known.incarnation != incarnation:
            return None
        return known

    def _end_later(self, replica: str, now: Millis) -> None:
        """Let all that a replica holds end in time, unless it reports it anew."""
        until = now + KEPT_AFTER_LOSS
        for known in self._known.values():
            if known.until.get(replica, until) is None:
                known.until[replica] = until

    def _drop_if_unheld(self, known: _Known) -> None:
        if not known.until and self._get(known.incarnation) is known:
            del self._known[known.incarnation.instance]
            self._forget(known)

    def _forget(self, known: _Known) -> None:
        self._addresses.drop(known.registration)
        self._by_pool = None


def _slots_of(rows: Iterable[Registration]) -> int:
    return sum(row.slots for row in rows)


def _with_starts(rows: list[Registration]) -> list[Registration]:
    """Return the upstreams of a pool without those that only look like some.

    Either all upstreams of a pool state their start or none does, so the few that do
    not are written by something else.
    """
    stated = [row for row in rows if row.incarnation.start]
    return stated if 2 * len(stated) >= len(rows) else rows
