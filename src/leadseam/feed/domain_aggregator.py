"""Aggregates loads at one replica, with the sums of the other replicas. No I/O."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.feed.domain_mode import DomainMode, DomainModeSwitch
from leadseam.feed.domain_sums import DomainSumsTable, entry_digest
from leadseam.feed.load_aggregator import LoadAggregator
from leadseam.feed.report_interval import MIN_INTERVAL, interval_for
from leadseam.wire.codec import encode
from leadseam.wire.feed import DomainSums

if TYPE_CHECKING:
    from collections.abc import Collection

    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport, LoadTotals

STANDBY_INTERVAL: Millis = 500
"""Interval of the sums for replicas without reporting entries. These need them for the
first totals after entries have chosen them, and for the sums to be below their maximum
age then."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class OutgoingSums:
    """Sums and the replicas that they are to be sent to."""

    message: DomainSums
    receivers: tuple[str, ...]


class DomainAggregator:
    """Reports of the entries that chose this replica, and sums of other replicas.

    Args:
        replica: Name of this replica.
        failure_domain: Its failure domain; if empty, no sums are exchanged.
        run: Random number of this run of the replica.

    Attributes:
        mode: Whether loads are aggregated by domain.
        interval: Time until the next totals and sums.
        peers: Failure domains of the connected replicas that exchange sums, by name.
        others: Sums of the other replicas.
    """

    def __init__(self, replica: str = "", failure_domain: str = "", run: int = 0):
        self.interval: Millis = MIN_INTERVAL
        self.peers: dict[str, str] = {}
        self.others = DomainSumsTable()
        self._replica = replica
        self._failure_domain = failure_domain
        self._run = run
        self._reports = LoadAggregator()
        self._switch = DomainModeSwitch(failure_domain)
        self._entries: dict[int, tuple[bytes, str]] = {}
        self._sequence = 0
        self._sent_at: dict[str, Millis] = {}
        self._domains: dict[str, str] = {}
        self._named: set[bytes] = set()
        self._totals_due = False

    def __repr__(self) -> str:
        return f"DomainAggregator({self._replica}, {self.mode.name})"

    @property
    def mode(self) -> DomainMode:
        """Whether this replica considers loads as aggregated by domain."""
        return self._switch.mode

    # Subscribers and replicas

    def subscribed(
        self, subscriber: int, node: str, incarnation: int, failure_domain: str
    ) -> None:
        """Record a subscriber; only entries that report loads state their domain."""
        if failure_domain:
            digest = entry_digest(node, incarnation)
            self._entries[subscriber] = digest, failure_domain

    def unsubscribed(self, subscriber: int) -> None:
        """Remove a subscriber that has disconnected."""
        self._entries.pop(subscriber, None)
        self._reports.remove(subscriber)

    def connected(self, replica: str, failure_domain: str) -> None:
        """Record a replica that has opened a link to this one."""
        if failure_domain and self._failure_domain:
            self.peers[replica] = failure_domain
            self._domains[replica] = failure_domain
            # It may have restarted, and then has no sums.
            self._sent_at.pop(replica, None)

    def disconnected(self, replica: str) -> None:
        """Record that a replica's link to this one has ended."""
        self.peers.pop(replica, None)
        self.others.disconnected(replica)

    def retain_only(self, replicas: Collection[str]) -> None:
        """Remove the sums of replicas that are no longer members of the group."""
        self.others.retain_only(replicas)

    def update_mode(self, now: Millis) -> None:
        """Decide anew whether loads are aggregated by domain."""
        domains = {self._failure_domain, *self.peers.values()}
        if self._switch.update(len(self._entries), len(domains), now):
            extra = {
                "mode": self.mode.name.lower(),
                "entries": len(self._entries),
                "domains": sorted(domains),
            }
            log.info("aggregation by failure domain has changed", extra=extra)

    # Reports, sums and totals

    def report(self, subscriber: int, report: LoadReport, now: Millis) -> None:
        """Take an entry's report."""
        # Entries of earlier versions state no domain, and choose one replica for all.
        digest = self._entries.get(subscriber, (b"", ""))[0]
        self._reports.update(subscriber, report, now, digest)

    def receive(self, message: DomainSums, now: Millis) -> str | None:
        """Take another replica's sums; return why they are rejected, if they are."""
        return self.others.receive(message, self._reports.entries(), now)

    def begin_interval(self, now: Millis) -> OutgoingSums | None:
        """Begin an interval; return the sums to send to other replicas, if any."""
        self._totals_due = True
        self.others.begin_interval()
        self._hold_back(now)
        entries = self._reports.entries()
        # Reports of entries that have left are held back elsewhere until all know it.
        some_left = not self._named <= entries
        self._named = entries
        receivers = self._receivers(now, to_all=some_left)
        if not receivers or not (entries or some_left):
            return None
        self._sequence += 1
        message = DomainSums(
            self._replica,
            self._sequence,
            encode(self._reports.sums()),
            self._run,
            b"".join(sorted(entries)),
            self._switch.exchanges(now),
        )
        return OutgoingSums(message, receivers)

    def sent(self, replica: str, now: Millis) -> None:
        """Record that sums were sent to a replica, which may not be connected."""
        self._sent_at[replica] = now

    def totals_due(self, now: Millis) -> bool:
        """Return whether totals are due before the end of the interval.

        They are once all replicas with entries have sent their sums in this interval,
        so that totals contain the newest sums of all, whatever the order of intervals.
        """
        return self._totals_due and self.others.is_complete(now)

    def totals_overdue(self) -> bool:
        """Return whether no totals were sent in the interval that ends."""
        return self._totals_due

    def totals(self, now: Millis) -> dict[int, LoadTotals]:
        """Return the totals by subscriber, and set the interval by their size."""
        self._totals_due = False
        self._hold_back(now)
        totals = self._reports.totals(now, self.others.sums(now))
        for one in totals.values():
            self.interval = interval_for(len(one.data))
            break
        return totals

    def requests_at(self, upstreams: Collection[int], now: Millis) -> int | None:
        """Return the number of requests in progress at a set of upstreams.

        Args:
            upstreams: Digests of the upstreams' incarnations.
            now: Current time.

        Returns:
            None if neither entries nor replicas have reported any to this replica.
        """
        self._hold_back(now)
        own = self._reports.requests_at(upstreams)
        others = self.others.requests_at(upstreams, now)
        if own is None:
            return others
        return own + (others or 0)

    def ages(self, now: Millis) -> dict[str, tuple[str, Millis | None]]:
        """Return the domain and age of the sums of each replica that has sent any.

        The age is None if the sums have been discarded.
        """
        return {
            name: (self._domains.get(name, ""), age)
            for name, age in self.others.ages(now).items()
        }

    def entries_by_domain(self) -> dict[str, int]:
        """Return the number of entries that report here, by their failure domain."""
        reporting = self._reports.reporting()
        counts = dict.fromkeys((domain for _, domain in self._entries.values()), 0)
        for digest, domain in self._entries.values():
            counts[domain] += digest in reporting
        return counts

    def _hold_back(self, now: Millis) -> None:
        self._reports.expire(now)
        elsewhere = self.others.entries_elsewhere(self._reports.reporting(), now)
        self._reports.hold_back(elsewhere)

    def _receivers(self, now: Millis, *, to_all: bool) -> tuple[str, ...]:
        """Return the replicas that need the own sums now.

        Those without reporting entries get them at `STANDBY_INTERVAL`, unless
        `to_all` is set. While this replica does not exchange sums itself, it answers
        those that do.
        """
        if not self._switch.exchanges(now):
            requesting = self.others.senders(now, requesting=True)
            return tuple(sorted(requesting & self.peers.keys()))
        senders = self.others.senders(now)
        return tuple(
            name
            for name in sorted(self.peers)
            if to_all
            or name in senders
            or now - self._sent_at.get(name, now - STANDBY_INTERVAL) >= STANDBY_INTERVAL
        )
