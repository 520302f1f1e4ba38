"""Service that client accounts recently requested and received, fleet-wide. No I/O.

Service is counted in tokens as the stated capacity is: a prompt token counts one,
whether or not an engine has it cached, and a generated token two. Fair shares are
max-min: an account that requests less than an equal part gets all that it requests, and
the remainder is divided among the others. There are two such shares. One is of the
capacity that the operators state; an account can rely on it as long as the engines
provide it. The other is of what the engines actually provide, which may be twice the
stated capacity or a third of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import exp
from typing import TYPE_CHECKING

from leadseam.routing.engine_load import LOADED_PART, reachable_service
from leadseam.routing.load import MAX_TOTALS_AGE
from leadseam.wire.feed import UsageRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport, LoadSums

DECAY_TIME: Millis = 2_000
"""Time constant of the exponential decay: after it 0.37 of a service still counts. A
steady rate counts as two seconds of that rate. The mean age of the counted service
equals that of the 4 s window in which the platform measures shares."""
SHORT_SHARE_PART = 0.95
"""An account is short if it received less than this fraction of its fair share."""
EVEN_LEAD = 1.15
"""Ratio by which an account may be ahead of a short one before that one goes first. It
is well below 2, which the platform counts as unfair."""
STOP_LEAD = 1.3
"""Ratio by which an account may be ahead of a short one before it gets no service at
all. It is well below 2 as well, because the platform compares periods of six seconds
and the counts lag."""
SCARCITY_RATIO = 1.25
"""Ratio of requested to received service above which engines are considered full. It
exceeds the ratio that requests waiting up to their objective cause while there is
capacity for all."""
MIN_ACTUAL_PART = 0.75
"""Fraction of the stated capacity that the engines must provide for shares to be based
on it. At this fraction `MIN_SHARE_PART` of a stated share is at most 0.67 of the actual
share, so the bounds on leads still keep accounts within a factor of two."""
MIN_SHARE_PART = 0.5
"""Fraction of the fair share that an account gets regardless of others. A short account
that has just started has received nothing yet, and must not stop the others."""
CURRENT_DEMAND_TIME: Millis = 500
"""Time constant by which current demand follows what accounts request. It is short
against `DECAY_TIME`, and spans several requests of an account with a large share."""
MIN_ELSEWHERE_PART = 0.1
"""Part of an account's requested service above which its callers use other entries. On
the heaviest day all 2,957 logged requests of one account came to one entry of 32, the
retries too."""
ENTRY_LEVEL_INTERVAL: Millis = 100
"""Time for which an entry's own level is kept, as a busy entry needs it often."""
GENERATED_TOKEN_WEIGHT = 2
"""Service of a generated token relative to a prompt token, as the platform measures
it."""


class Standing(Enum):
    """What a client account may claim now, by the service that it recently received."""

    WITHIN = auto()
    """Within its share of the stated capacity."""
    EVEN = auto()
    """Beyond its stated share, and not ahead of the others."""
    AHEAD = auto()
    """Beyond its stated share, and ahead of the others."""
    STOPPED = auto()
    """So far ahead of a short account that it gets no service."""


@dataclass(frozen=True, slots=True)
class Shares:
    """Upper bounds of recent service for each standing; infinite if there is no bound.

    Args:
        stated: Share of the capacity stated by the operators.
        even: Service beyond which an account is ahead of the others.
        stop: Service beyond which an account gets no service.
    """

    stated: float = float("inf")
    even: float = float("inf")
    stop: float = float("inf")

    @property
    def served_again(self) -> float:
        """Recent service at which an account that was held back may wait again."""
        return max(self.stated, min(self.even, self.stop))

    def standing(self, level: int) -> Standing:
        """Return the standing of an account with this much recent service."""
        if level <= self.stated:
            return Standing.WITHIN
        if level > self.stop:
            return Standing.STOPPED
        return Standing.AHEAD if level > self.even else Standing.EVEN


@dataclass(slots=True)
class _DecayingSum:
    """A sum of service that decays exponentially with time.

    With a sliding window, the service of one second counted in full for four seconds
    and then not at all: an account far ahead was stopped for three seconds, and all
    accounts that were stopped together resumed together.
    """

    value: float = 0.0
    at: Millis = 0

    def add(self, service: int, now: Millis) -> None:
        self.value = self.value_at(now) + service
        self.at = now

    def value_at(self, now: Millis) -> float:
        """Return the decayed sum at a time."""
        if not self.value:
            return 0.0
        return self.value * exp(-max(now - self.at, 0) / DECAY_TIME)


@dataclass(slots=True)
class _Account:
    served: _DecayingSum = field(default_factory=_DecayingSum)
    requested: _DecayingSum = field(default_factory=_DecayingSum)
    handed: _DecayingSum = field(default_factory=_DecayingSum)


@dataclass(slots=True)
class _Demand:
    """What an account requested of late in the sums of all entries.

    Args:
        requested: Its requested service in the newest sums.
        recent: Service that it requested since, decaying with `CURRENT_DEMAND_TIME`.
    """

    requested: int = 0
    recent: float = 0.0


class CurrentDemands:
    """Limits the demand in the sums to what accounts still request.

    Requested service of ten times an account's share stays above the share for 4.6 s
    after the flood has ended. What the account received decays meanwhile, so that it
    seemed to be short, and all accounts that still requested service were stopped.
    """

    def __init__(self) -> None:
        self._demands: dict[str, _Demand] = {}
        self._at: Millis | None = None

    def __repr__(self) -> str:
        return f"CurrentDemands(accounts={len(self._demands)})"

    def apply(self, rows: Iterable[UsageRow], now: Millis) -> list[UsageRow]:
        """Return the rows of new sums with the demand that remains.

        Args:
            rows: The sums of all entries.
            now: Current time.
        """
        age = now - self._at if self._at is not None else None
        self._at = now
        earlier, self._demands = self._demands, {}
        limited = []
        for row in rows:
            demand = earlier.get(row.account) or _Demand()
            recent = row.requested * CURRENT_DEMAND_TIME / DECAY_TIME
            if age is not None:
                kept = demand.requested * exp(-age / DECAY_TIME)
                added = max(row.requested - kept, 0)
                recent = demand.recent * exp(-age / CURRENT_DEMAND_TIME) + added
            self._demands[row.account] = _Demand(row.requested, recent)
            current = round(recent * DECAY_TIME / CURRENT_DEMAND_TIME)
            if current < row.requested:
                row = UsageRow(row.account, row.served, current)
            limited.append(row)
        return limited


class UsageTable:
    """Recent service by account, decaying with `DECAY_TIME`.

    Attributes:
        shares: Fair shares by the newest sums.
        used_part: Average used part of the engines at that time; 1 if unknown.
    """

    def __init__(self) -> None:
        self._own: dict[str, _Account] = {}
        self._others: dict[str, UsageRow] = {}
        self._totals_at: Millis | None = None
        self._demands = CurrentDemands()
        self._entry_level = float("inf")
        self._entry_level_at: Millis | None = None
        self.shares = Shares()
        self.used_part = 1.0

    def __repr__(self) -> str:
        return f"UsageTable(accounts={len(self._own)}, {self.shares!r})"

    def record_requested(self, account: str, service: int, now: Millis) -> None:
        """Count the service of a request that arrived."""
        self._account(account).requested.add(service, now)

    def record_handed(self, account: str, service: int, now: Millis) -> None:
        """Count the service of a request that another entry counts as requested."""
        self._account(account).handed.add(service, now)

    def record_served(self, account: str, service: int, now: Millis) -> None:
        """Count the service of a request that was sent to an upstream."""
        self._account(account).served.add(service, now)

    def recent_service(self, account: str, now: Millis) -> int:
        """Return the service that an account recently received, as far as is known.

        The part of the other entries counts only while the totals are current.
        """
        others = self._others.get(account) if self._has_current_totals(now) else None
        own = round(self._account(account).served.value_at(now))
        return own + (others.served if others is not None else 0)

    def uses_other_entries(self, account: str, now: Millis) -> bool:
        """Return whether other entries get a fair part of an account's requests.

        All callers of some accounts use one entry, and retry there. Requests that this
        entry hands over are its own.
        """
        others = self._others.get(account) if self._has_current_totals(now) else None
        if others is None:
            return False
        handed = self._account(account).handed.value_at(now)
        elsewhere = max(others.requested - handed, 0)
        own = self._requested_here(account, now)
        return elsewhere >= MIN_ELSEWHERE_PART * (own + elsewhere)

    def is_within_entry_share(self, account: str, now: Millis) -> bool:
        """Return whether others use up this entry, and not this account.

        What the entry serves is divided by max-min among the accounts that request
        service of it. While it serves all that they request, there are no such shares.
        """
        level = self._current_entry_level(now)
        if level == float("inf"):
            return False
        return self._requested_here(account, now) <= level

    def recently_requested(self, account: str, now: Millis) -> int:
        """Return the service that an account recently requested, as far as is known."""
        others = self._others.get(account) if self._has_current_totals(now) else None
        own = round(self._account(account).requested.value_at(now))
        return own + (others.requested if others is not None else 0)

    def standing(self, account: str, now: Millis) -> Standing:
        """Return the standing of an account.

        Outdated totals hold back no account: by now it may have received nothing for a
        long time, and engines still refuse what exceeds their capacity.
        """
        if not self._has_current_totals(now):
            return Standing.WITHIN
        level = self.recent_service(account, now)
        return self.shares.standing(level)

    def are_sums_current(self, now: Millis) -> bool:
        """Return whether the sums are recent enough to decide by them."""
        return self._has_current_totals(now)

    def sums_age(self, now: Millis) -> Millis:
        """Return the age of the sums in use, or -1 before the first."""
        return now - self._totals_at if self._totals_at is not None else -1

    def rows(self, now: Millis) -> tuple[UsageRow, ...]:
        """Return this entry's usage rows for its load report."""
        rows = []
        for name, account in list(self._own.items()):
            served = round(account.served.value_at(now))
            requested = round(account.requested.value_at(now))
            if served or requested:
                rows.append(UsageRow(name, served, requested))
            elif not round(account.handed.value_at(now)):
                del self._own[name]
        return tuple(rows)

    def apply_sums(
        self,
        sums: LoadSums,
        own: LoadReport | None,
        *,
        capacity: int,
        now: Millis,
        used_part: float = 1.0,
    ) -> None:
        """Apply the sums of all entries and compute the fair shares.

        Args:
            sums: The sums of all entries.
            own: The own report that the sums contain, or None.
            capacity: Stated service of all upstreams in `DECAY_TIME`; 0 if unknown.
            now: Current time.
            used_part: Average used part of the engines, or 1 if it is unknown.
        """
        self._totals_at = now
        self.used_part = used_part
        own_rows = {row.account: row for row in own.usage} if own is not None else {}
        self._others = {
            row.account: _subtract(row, own_rows.get(row.account)) for row in sums.usage
        }
        demands = self._demands.apply(sums.usage, now)
        self.shares = compute_shares(demands, capacity, used_part)

    def _has_current_totals(self, now: Millis) -> bool:
        return self._totals_at is not None and now - self._totals_at <= MAX_TOTALS_AGE

    def _current_entry_level(self, now: Millis) -> float:
        at = self._entry_level_at
        if at is None or now - at >= ENTRY_LEVEL_INTERVAL:
            self._entry_level_at = now
            rows = self.rows(now)
            served = sum(row.served for row in rows)
            requested = [round(self._requested_here(row.account, now)) for row in rows]
            self._entry_level = fair_level(requested, served)
        return self._entry_level

    def _requested_here(self, account: str, now: Millis) -> float:
        """Return the recent service that callers requested at this entry."""
        found = self._account(account)
        return found.requested.value_at(now) + found.handed.value_at(now)

    def _account(self, name: str) -> _Account:
        return self._own.setdefault(name, _Account())


def compute_shares(
    rows: Sequence[UsageRow], capacity: int, used_part: float = 1.0
) -> Shares:
    """Compute the shares from the service that accounts requested and received.

    Args:
        rows: The sums of all entries.
        capacity: Service of all upstreams in `DECAY_TIME` as stated by the operators;
            0 if none is stated.
        used_part: Average used part of the engines, or 1 if it is unknown.
    """
    demands = [max(row.requested, row.served) for row in rows]
    actual = actual_capacity(rows, capacity, used_part)
    # Differs from the level below where engines provide more than is stated: an account
    # within its stated share must not be refused because others get more than theirs.
    stated = fair_level(demands, min(capacity or actual, actual))
    level = fair_level(demands, actual)
    stop = lead_level(rows, level, STOP_LEAD)
    if actual < capacity:
        # The actual capacity is then estimated from the received service, which drops
        # once some accounts are stopped.
        stop = max(stop, STOP_LEAD * stated)
    return Shares(
        stated=stated, even=min(level, lead_level(rows, level, EVEN_LEAD)), stop=stop
    )


def actual_capacity(
    rows: Sequence[UsageRow], capacity: int, used_part: float = 1.0
) -> int:
    """Return the service that upstreams can provide in `DECAY_TIME`, if known.

    They may provide more than is stated, or far less: engines are gone, their slots are
    taken by long answers, or shared parts of prompts are read again. If shares were
    then based on the stated capacity, every account would be within its share, and
    accounts that come through different entries would not be ordered. Less than the
    stated capacity is assumed only while much of the requested service is not received
    and the engines are loaded. More is assumed by what they would provide if fully
    used: by what they do provide, shares would hold back accounts that engines could
    serve, and would never grow again.

    Args:
        rows: What accounts requested and received.
        capacity: Capacity stated by the operators; 0 if none is stated.
        used_part: Average used part of the engines, or 1 if it is unknown.
    """
    served = sum(row.served for row in rows)
    reachable = reachable_service(served, used_part)
    if served >= capacity * MIN_ACTUAL_PART or used_part < LOADED_PART:
        return max(reachable, capacity)
    requested = sum(max(row.requested, row.served) for row in rows)
    if requested <= SCARCITY_RATIO * served:
        return capacity
    return min(reachable, capacity)


def fair_level(demands: Iterable[int], capacity: int) -> float:
    """Return the max-min fair level.

    If no demand gets more than the level, all of them fit in the capacity.

    Args:
        demands: Service that each account requests.
        capacity: Available service.

    Returns:
        The level; infinite if all demands fit without a limit.
    """
    ordered = sorted(demands)
    left = float(capacity)
    for position, demand in enumerate(ordered):
        even = left / (len(ordered) - position)
        if demand > even:
            return even
        left -= demand
    return float("inf")


def lead_level(rows: Iterable[UsageRow], level: float, lead: float) -> float:
    """Return the service beyond which accounts leave capacity to short ones.

    An account may be short although engines have capacity for it, for example when all
    its callers use one busy entry; others would take that capacity in the meantime.

    Args:
        rows: What each account requested and received.
        level: The max-min level; infinite if there is enough for all.
        lead: Ratio by which others may be ahead of a short account.

    Returns:
        The level; infinite if no account that requests its whole share is short.
    """
    if level == float("inf"):
        return level
    short = [
        row.served
        for row in rows
        if row.requested >= level and row.served < SHORT_SHARE_PART * level
    ]
    if not short:
        return float("inf")
    return max(lead * min(short), MIN_SHARE_PART * level)


def _subtract(row: UsageRow, own: UsageRow | None) -> UsageRow:
    if own is None:
        return row
    return UsageRow(
        row.account,
        max(row.served - own.served, 0),
        max(row.requested - own.requested, 0),
    )
