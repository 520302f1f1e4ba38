"""Logs once a second what client accounts request and receive. The log is its only I/O.

Log lines about single requests are limited in number. Those of a busy entry are a
sample and do not show what an account requested and received. These lines do, together
with the limits that applied to the account, and what the entry spent its processor
time on. While capacity is short, all entries write them, so that their sums show what
each account received of the fleet.
"""

from __future__ import annotations

import logging
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND, Clock, Millis, sleep

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.outcome import Reason
    from leadseam.routing.usage import UsageTable

INTERVAL: Millis = 1_000
"""Time between two lines, which end at whole seconds of the wall clock, so that those
of several entries can be added up. Fairness is evaluated for each second."""
MAX_ACCOUNTS = 8
"""Maximum accounts of which a line tells the limits, which keeps that part below about
1.5 KB. The accounts refused most often come first, then those that requested most."""
MAX_OTHER_ACCOUNTS = 56
"""Maximum further accounts of which a line tells only service, in about 2 KB."""

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _AccountCounts:
    """Counts of an account's requests since the last line.

    Args:
        requested: Service of the requests that arrived, in tokens.
        placed: Service of the requests that were sent to an upstream, in tokens.
        largest: Service of the largest request that arrived, in tokens.
        refused: Number of refused requests by reason.
        handed: Number of requests that were handed over to other entries, which count
            their service.
    """

    requested: int = 0
    placed: int = 0
    largest: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    handed: int = 0


@dataclass(slots=True)
class _EntryWork:
    """What the entry did since the last line.

    Args:
        largest_lag: Largest lag of the event loop.
        connections: New connections whose first request has arrived.
        refused_unread: First requests that were refused by their head alone.
    """

    largest_lag: Millis = 0
    connections: int = 0
    refused_unread: int = 0


class AccountLog:
    """Counts by client account, written and reset each second.

    Args:
        usage: Source of the standings and shares on the lines.
        clock: Source of time.
        processor_time: Returns the seconds of processor time that the process has used.
    """

    def __init__(
        self,
        usage: UsageTable,
        clock: Clock,
        processor_time: Callable[[], float] = time.process_time,
    ) -> None:
        self._usage = usage
        self._clock = clock
        self._processor_time = processor_time
        self._processor_used = processor_time()
        self._accounts: dict[str, _AccountCounts] = {}
        self._work = _EntryWork()

    def __repr__(self) -> str:
        return f"AccountLog(accounts={len(self._accounts)})"

    def record_requested(self, account: str, service: int) -> None:
        """Count the service of a request that arrived."""
        counts = self._counts(account)
        counts.requested += service
        counts.largest = max(counts.largest, service)

    def record_placed(self, account: str, service: int) -> None:
        """Count the service of a request that was sent to an upstream."""
        self._counts(account).placed += service

    def record_refusal(self, account: str, reason: Reason) -> None:
        """Count a request that was refused."""
        self._counts(account).refused[reason.value] += 1

    def record_handed(self, account: str) -> None:
        """Count a request that was handed over to another entry."""
        self._counts(account).handed += 1

    def record_connection(self, *, refused: bool) -> None:
        """Count the first request of a connection.

        Args:
            refused: Whether it was refused by its head alone.
        """
        self._work.connections += 1
        self._work.refused_unread += refused

    def record_lag(self, lag: Millis) -> None:
        """Record a measurement of the event loop's lag."""
        self._work.largest_lag = max(self._work.largest_lag, lag)

    async def run(self) -> None:
        """Write a line at each whole second of the wall clock until cancelled."""
        while True:
            await sleep(INTERVAL - self._clock.wall() % INTERVAL)
            self.write()

    def write(self) -> None:
        """Write a line if any account was refused, here or probably at other entries.

        The counts are reset in any case.
        """
        accounts, self._accounts = self._accounts, {}
        work, self._work = self._work, _EntryWork()
        used_before, self._processor_used = (
            self._processor_used,
            self._processor_time(),
        )
        processor_used = self._processor_used - used_before
        is_short = self._usage.shares.even != float("inf")
        if not accounts or not (
            is_short or any(one.refused for one in accounts.values())
        ):
            return
        names = sorted(
            accounts,
            key=lambda name: (
                -accounts[name].refused.total(),
                -accounts[name].requested,
                name,
            ),
        )
        listed = MAX_ACCOUNTS + MAX_OTHER_ACCOUNTS
        now = self._clock.now()
        shares = self._usage.shares
        extra = {
            "sums_age_ms": self._usage.sums_age(now),
            "stated_level": _level(shares.stated),
            "even_level": _level(shares.even),
            "stop_level": _level(shares.stop),
            "engines_used": round(self._usage.used_part, 2),
            "lag_ms": work.largest_lag,
            "processor_ms": round(processor_used * MILLIS_PER_SECOND),
            "connections": work.connections,
            "refused_unread": work.refused_unread,
            "accounts": [
                self._row(name, accounts[name], now) for name in names[:MAX_ACCOUNTS]
            ],
            "served": {
                name: [
                    accounts[name].requested,
                    accounts[name].placed,
                    accounts[name].largest,
                ]
                for name in names[MAX_ACCOUNTS:listed]
            },
            "others": max(len(names) - listed, 0),
        }
        log.info("accounts refused", extra=extra)

    def _row(self, name: str, counts: _AccountCounts, now: Millis) -> dict[str, object]:
        return {
            "account": name,
            "asked": counts.requested,
            "placed": counts.placed,
            "largest": counts.largest,
            "refused": dict(counts.refused),
            "handed": counts.handed,
            "served_of_late": self._usage.recent_service(name, now),
            "asked_of_late": self._usage.recently_requested(name, now),
            "standing": self._usage.standing(name, now).name.lower(),
        }

    def _counts(self, account: str) -> _AccountCounts:
        return self._accounts.setdefault(account, _AccountCounts())


def _level(level: float) -> int | None:
    """Return a level for the log line, or None if there is no bound."""
    return None if level == float("inf") else round(level)
