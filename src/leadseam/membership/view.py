"""An entry's view of the registered upstreams, merged from several replicas. No I/O.

Each replica reports the upstreams that send it heartbeats. An upstream is kept while at
least one replica lists it. The upstreams of a lost replica are kept for a while:
they switch to another replica, or the replica returns with an empty table.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from msgspec import structs

from leadseam.clock import Millis
from leadseam.membership.addresses import AddressTable
from leadseam.membership.departures import Departures
from leadseam.membership.registry import DEFAULT_HEARTBEAT
from leadseam.membership.versions import VersionTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

LOST_REPLICA_TTL: Millis = 12_000
"""Time for which a lost replica's upstreams are kept: ten heartbeats of 1.2 s."""
MAX_LEAVING = 256
"""Upstreams kept after they have announced that they leave, about 100 KB. An engine
that leaves answers for some seconds more, and prompt parts can be fetched from it."""
COLD_HEARTBEATS_AFTER_RESTORE = 3
"""Heartbeats for which the upstreams of a failure domain count as cold once its
evacuation ends: they may have turned cold just before, and a heartbeat may be late."""


@dataclass(slots=True)
class _Listing:
    """An upstream as one replica lists it.

    Args:
        registration: The last registration that the replica has sent.
        cold_until: When it stops being cold; 0 if it is not cold.
        held_until: Until when the replica counts as listing it; None for no limit.
    """

    registration: Registration
    cold_until: Millis
    held_until: Millis | None = None

    @property
    def order(self) -> tuple[int, int]:
        """Orders the registrations of one upstream by start and sequence."""
        return self.registration.incarnation.start, self.registration.sequence


@dataclass(slots=True)
class _KnownUpstream:
    """An upstream and the replicas that list it.

    A replica that lists an earlier start may be the only one left that lists any, so
    what each replica has sent is kept.

    Args:
        registration: Its latest registration.
        cold_until: When it stops being cold; 0 if it is not cold.
        listings: What each replica lists.
    """

    registration: Registration
    cold_until: Millis = 0
    listings: dict[str, _Listing] = field(default_factory=dict)

    @property
    def incarnation(self) -> Incarnation:
        """Incarnation of the latest registration."""
        return self.registration.incarnation


class UpstreamView:
    """Upstreams known to an entry, with the latest incarnation of each.

    Args:
        regions: Region of each failure domain.
        heartbeat_interval: Milliseconds between the heartbeats of an upstream.

    Attributes:
        evacuated: Failure domains that get no requests.
        versions: Versions of upstreams that are or were registered.
    """

    def __init__(
        self,
        regions: Mapping[str, str] | None = None,
        *,
        heartbeat_interval: Millis = DEFAULT_HEARTBEAT,
    ) -> None:
        self.evacuated: frozenset[str] = frozenset()
        self.versions = VersionTable()
        self._regions = regions or {}
        self._restored_cold_time = COLD_HEARTBEATS_AFTER_RESTORE * heartbeat_interval
        self._evacuation_revision = 0
        self._restored_cold_until: dict[str, Millis] = {}
        self._all_warm_at: Millis = 0
        self._upstreams: dict[str, _KnownUpstream] = {}
        self._departed = Departures()
        self._leaving: dict[Incarnation, Registration] = {}
        self._by_pool: dict[str, list[Registration]] | None = None
        self._by_scope: dict[
            tuple[str, frozenset[str] | None, str | None], list[Registration]
        ] = {}
        self._sources: dict[
            tuple[str, frozenset[str] | None], dict[int, Registration]
        ] = {}
        self._slots_by_pool: dict[str, tuple[int, int]] = {}
        self._addresses = AddressTable()

    def __repr__(self) -> str:
        return f"UpstreamView(known={len(self._upstreams)}, {self._departed!r})"

    def connected(self, replica: str, now: Millis) -> None:
        """Record a new connection of a replica.

        Upstreams that it listed before and does not list again expire later.
        """
        self._schedule_drop(replica, now)

    def disconnected(self, replica: str, now: Millis) -> None:
        """Record that a replica is disconnected; its upstreams expire later."""
        self._schedule_drop(replica, now)

    def update(
        self, replica: str, rows: Iterable[Registration], now: Millis
    ) -> tuple[Incarnation, ...]:
        """Merge registrations that a replica lists.

        Returns:
            Incarnations that were replaced by a later start of the same upstream.
        """
        accepted = [row for row in rows if row.incarnation not in self._departed]
        self.versions.see(accepted, now)
        replaced = [self._merge_row(replica, row, now) for row in accepted]
        return tuple(one for one in replaced if one is not None)

    def expired(self, replica: str, incarnations: Iterable[Incarnation]) -> None:
        """Record that upstreams have expired at a replica.

        An upstream is dropped unless another replica lists it.
        """
        for incarnation in incarnations:
            known = self._upstreams.get(incarnation.instance)
            listing = known.listings.get(replica) if known is not None else None
            if known is None or listing is None:
                continue
            if listing.registration.incarnation == incarnation:
                del known.listings[replica]
                self._select_latest(known)

    def left(self, incarnations: Iterable[Incarnation]) -> tuple[Incarnation, ...]:
        """Remove upstreams that leave for good; return those not recorded before."""
        new = tuple(one for one in incarnations if self._departed.add(one))
        for incarnation in new:
            known = self._upstreams.get(incarnation.instance)
            if known is not None and known.incarnation in self._departed:
                del self._upstreams[incarnation.instance]
                self._release_address(known)
                self._leaving[incarnation] = known.registration
                if len(self._leaving) > MAX_LEAVING:
                    del self._leaving[next(iter(self._leaving))]
        return new

    def evacuate(self, revision: int, domains: Iterable[str], now: Millis) -> bool:
        """Replace the set of evacuated failure domains, which get no requests.

        Args:
            revision: Revision of the evacuations. Only a higher one than the last has
                an effect.
            domains: All failure domains that are evacuated.
            now: Current time.

        Returns:
            Whether the revision was new.
        """
        if revision <= self._evacuation_revision:
            return False
        self._evacuation_revision = revision
        before, self.evacuated = self.evacuated, frozenset(domains)
        for domain in before - self.evacuated:
            self._restored_cold_until[domain] = now + self._restored_cold_time
            self._all_warm_at = max(
                self._all_warm_at, self._restored_cold_until[domain]
            )
        self._by_pool = None
        return True

    def cold_until(self, row: Registration) -> Millis:
        """Return when an upstream stops counting as cold; 0 if it is not cold."""
        known = self._upstreams.get(row.incarnation.instance)
        if known is None or known.incarnation != row.incarnation:
            return 0
        return max(
            known.cold_until, self._restored_cold_until.get(row.failure_domain, 0)
        )

    def all_warm(self, now: Millis) -> bool:
        """Return whether no upstream at all is cold, which is the usual case."""
        return now >= self._all_warm_at

    def available_fraction(self, pools: Iterable[str]) -> float:
        """Return the fraction of the slots of some pools that is not evacuated."""
        self._pools()
        counts = [self._slots_by_pool.get(pool, (0, 0)) for pool in pools]
        total = sum(slots for _, slots in counts)
        return sum(available for available, _ in counts) / total if total else 1.0

    def has_left(self, incarnation: Incarnation) -> bool:
        """Return whether an upstream has announced that it leaves."""
        return incarnation in self._departed

    def serves(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is registered and holds its address."""
        known = self._get(incarnation)
        return known is not None and self._addresses.holds(known.registration)

    def answered(self, incarnation: Incarnation, now: Millis) -> None:
        """Record that an upstream has answered a request that was meant for it."""
        if self._get(incarnation) is not None:
            self._addresses.answered(incarnation, now)

    def misdirected(self, incarnation: Incarnation) -> bool:
        """Record that another incarnation answers at an upstream's address.

        Returns:
            Whether another one is registered there, which gets its requests from now.
        """
        known = self._get(incarnation)
        if known is None or not self._addresses.misdirected(known.registration):
            return False
        self._by_pool = None
        return True

    def sweep(self, now: Millis) -> None:
        """Drop upstreams that no replica has listed for `LOST_REPLICA_TTL`."""
        self.versions.see((one.registration for one in self._upstreams.values()), now)
        for known in list(self._upstreams.values()):
            ended = [
                replica
                for replica, listing in known.listings.items()
                if listing.held_until is not None and now >= listing.held_until
            ]
            for replica in ended:
                del known.listings[replica]
            if ended:
                self._select_latest(known)

    def pool(
        self,
        name: str,
        regions: frozenset[str] | None = None,
        version: str | None = None,
    ) -> Sequence[Registration]:
        """Return the upstreams of a pool that accept new requests.

        Args:
            name: Name of the pool.
            regions: Allowed regions, or None for any.
            version: Required version of their software, or None for any.
        """
        rows = self._pools().get(name, ())
        if regions is None and version is None:
            return rows
        key = (name, regions, version)
        if key not in self._by_scope:
            self._by_scope[key] = [
                row
                for row in rows
                if (regions is None or self._regions.get(row.failure_domain) in regions)
                and (version is None or row.version == version)
            ]
        return self._by_scope[key]

    def sources(
        self, name: str, regions: frozenset[str] | None = None
    ) -> Mapping[int, Registration]:
        """Return upstreams that cached prompt parts may be fetched from, by digest.

        Unlike `pool`, the result includes upstreams that accept no new requests, and
        those that leave while no other upstream is registered at their address.

        Args:
            name: Name of the pool.
            regions: Allowed regions, or None for any.
        """
        self._pools()
        key = (name, regions)
        if key not in self._sources:
            self._sources[key] = {
                row.incarnation.digest(): row
                for row in self._source_rows(name)
                if regions is None or self._regions.get(row.failure_domain) in regions
            }
        return self._sources[key]

    def _source_rows(self, pool: str) -> list[Registration]:
        registered = (known.registration for known in self._upstreams.values())
        rows = [row for row in registered if self._addresses.holds(row)]
        rows += [
            row for row in self._leaving.values() if not self._addresses.is_claimed(row)
        ]
        rows = _without_foreign_rows([row for row in rows if row.pool == pool])
        return self._not_evacuated(rows)

    def _pools(self) -> dict[str, list[Registration]]:
        """Return the upstreams that accept new requests by pool.

        The result is cached until an upstream or the evacuations change.
        """
        if self._by_pool is None:
            self._by_pool = self._group()
            self._by_scope.clear()
            self._sources.clear()
        return self._by_pool

    def _group(self) -> dict[str, list[Registration]]:
        grouped: dict[str, list[Registration]] = {}
        for known in self._upstreams.values():
            row = known.registration
            if row.ready and self._addresses.holds(row):
                grouped.setdefault(row.pool, []).append(row)
        listed = {pool: _without_foreign_rows(rows) for pool, rows in grouped.items()}
        available = {pool: self._not_evacuated(rows) for pool, rows in listed.items()}
        self._slots_by_pool = {
            pool: (_slots_of(available[pool]), _slots_of(rows))
            for pool, rows in listed.items()
        }
        return available

    def _not_evacuated(self, rows: list[Registration]) -> list[Registration]:
        return [row for row in rows if row.failure_domain not in self.evacuated]

    def _merge_row(
        self, replica: str, row: Registration, now: Millis
    ) -> Incarnation | None:
        """Merge a row; return the incarnation that it replaces, if any."""
        listing = _Listing(row, now + row.cold_remaining if row.cold_remaining else 0)
        known = self._upstreams.get(row.instance)
        if known is None:
            known = self._upstreams[row.instance] = _KnownUpstream(row)
            self._set_cold_until(known, listing.cold_until)
            self._addresses.claim(row, now)
        elif (known.incarnation, known.registration.sequence) == (
            row.incarnation,
            row.sequence,
        ):
            # The same heartbeat, sent again later.
            listing.cold_until = known.cold_until
        known.listings[replica] = listing
        return self._select_latest(known)

    def _select_latest(self, known: _KnownUpstream) -> Incarnation | None:
        """Use the latest registration that is listed, or drop the upstream.

        Returns:
            The incarnation that a later start replaces, if any.
        """
        before = known.registration
        listings = [
            one
            for one in known.listings.values()
            if one.registration.incarnation not in self._departed
        ]
        if not listings:
            del self._upstreams[before.instance]
            self._release_address(known)
            return None
        latest = max(listings, key=lambda one: one.order)
        row = latest.registration
        versions = [
            one.registration.version
            for one in listings
            if one.registration.incarnation == row.incarnation
        ]
        if row.incarnation == before.incarnation:
            versions.append(before.version)
        version = next((one for one in versions if one is not None), None)
        known.registration = _with_version(row, version)
        self._set_cold_until(known, latest.cold_until)
        self._by_pool = None
        if _place(row) != _place(before):
            self._addresses.succeed(before, row)
        if row.incarnation.replaces(before.incarnation):
            return before.incarnation
        return None

    def _set_cold_until(self, known: _KnownUpstream, cold_until: Millis) -> None:
        known.cold_until = cold_until
        self._all_warm_at = max(self._all_warm_at, cold_until)

    def _get(self, incarnation: Incarnation) -> _KnownUpstream | None:
        """Return the record of an incarnation, or None if it is not the latest."""
        known = self._upstreams.get(incarnation.instance)
        if known is None or known.incarnation != incarnation:
            return None
        return known

    def _schedule_drop(self, replica: str, now: Millis) -> None:
        """Let all upstreams of a replica expire, except those that it lists again."""
        for known in self._upstreams.values():
            listing = known.listings.get(replica)
            if listing is not None and listing.held_until is None:
                listing.held_until = now + LOST_REPLICA_TTL

    def _release_address(self, known: _KnownUpstream) -> None:
        self._addresses.drop(known.registration)
        self._by_pool = None


def _with_version(row: Registration, version: str | None) -> Registration:
    """Return a row with the version known before, if its sender knows none."""
    if row.version is not None or version is None:
        return row
    return structs.replace(row, version=version)


def _place(row: Registration) -> tuple[Incarnation, str, int]:
    return row.incarnation, row.ip, row.port


def _slots_of(rows: Iterable[Registration]) -> int:
    return sum(row.slots for row in rows)


def _without_foreign_rows(rows: list[Registration]) -> list[Registration]:
    """Return the rows of a pool without those that other software has written.

    Either all upstreams of a pool report their start or none does, so a minority of
    rows without a start does not come from the pool's upstreams.
    """
    listed = [row for row in rows if row.incarnation.start]
    return listed if 2 * len(listed) >= len(rows) else rows
