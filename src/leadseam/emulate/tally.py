"""Counts of an emulated fleet: service, worth and ends of requests by account."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from statistics import mean
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND
from leadseam.routing.usage import fair_level

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.emulate.callers import Arrival

WORST_SERVED_DIVISOR = 10
"""Reciprocal of the fraction of accounts that count as worst served."""


@dataclass(slots=True)
class Tally:
    """Counts by client account, except `ends`.

    Args:
        ends: Number of requests by how they ended, and of attempts that were turned
            away.
        return_times: Number of pauses after refusals, by rule.
        retried: Number of requests that were sent again, and of those then served.
        requested: Service requested.
        begun: Service begun: that of requests with a first token.
        requested_by_second: Service requested, by account and second.
        begun_by_second: Service begun, by account and second.
        owed: Worth of all requests if all were answered in time.
        earned: Worth of the answers given, in time or late.
        idle_refusals: Refusals of accounts that may claim service while an engine had
            been idle since the request arrived, by second.
    """

    ends: Counter[str] = field(default_factory=Counter)
    return_times: Counter[str] = field(default_factory=Counter)
    retried: Counter[str] = field(default_factory=Counter)
    requested: Counter[str] = field(default_factory=Counter)
    begun: Counter[str] = field(default_factory=Counter)
    requested_by_second: Counter[tuple[str, int]] = field(default_factory=Counter)
    begun_by_second: Counter[tuple[str, int]] = field(default_factory=Counter)
    owed: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    earned: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))
    idle_refusals: Counter[int] = field(default_factory=Counter)

    def arrived(self, arrival: Arrival, service: int) -> None:
        """Count a request that has arrived."""
        self.owed[arrival.account] += arrival.kind.worth
        self.requested[arrival.account] += service
        second = arrival.at // MILLIS_PER_SECOND
        self.requested_by_second[arrival.account, second] += service

    def answered(
        self, arrival: Arrival, service: int, now: Millis, *, in_time: bool
    ) -> None:
        """Count a request whose first token has reached its entry."""
        kind = arrival.kind
        self.earned[arrival.account] += kind.worth if in_time else kind.late
        self.ends["in time" if in_time else "late"] += 1
        self.begun[arrival.account] += service
        self.begun_by_second[arrival.account, now // MILLIS_PER_SECOND] += service

    def due(self, capacity: int) -> dict[str, float]:
        """Return the worth that each account is due.

        Args:
            capacity: Service that the capacity stated by operators allows in the
                simulated time. What an account requests beyond its max-min fair share
                of it is not due.
        """
        level = fair_level(self.requested.values(), capacity)
        return {
            name: self.owed[name] * min(1.0, level / requested)
            for name, requested in self.requested.items()
        }

    def earned_fractions(self, capacity: int) -> dict[str, float]:
        """Return the fraction of its worth due that each account earned."""
        due = self.due(capacity)
        return {name: min(self.earned[name] / due[name], 1.0) for name in due}

    def worth(self, capacity: int) -> float:
        """Return the fraction of the worth due to all accounts that was earned."""
        due = self.due(capacity)
        earned_fractions = self.earned_fractions(capacity)
        total_due = sum(due.values())
        return (
            sum(earned_fractions[name] * due[name] for name in due) / total_due
            if total_due
            else 0.0
        )

    def worst(self, capacity: int) -> float:
        """Return the mean earned fraction of the worst served tenth of accounts."""
        earned_fractions = sorted(self.earned_fractions(capacity).values())
        return (
            mean(
                earned_fractions[
                    : max(len(earned_fractions) // WORST_SERVED_DIVISOR, 1)
                ]
            )
            if earned_fractions
            else 0.0
        )
