"""Service that client accounts got and asked for of late, fleet-wide. No I/O.

Service is counted in tokens: one for a prompt token that has to be read, two for one
that is made. An account's fair share is max-min: accounts that ask for less than an
even part get all of it, and what they leave is divided among the others. There are two
such shares: of the capacity that the operators state, which an account can count on as
long as engines give it, and of what the engines really give, which may be twice as much
or a third.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from math import exp
from typing import TYPE_CHECKING

from leadseam.routing.load import MAX_TOTALS_AGE
from leadseam.wire.feed import UsageRow

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from leadseam.clock import Millis
    from leadseam.wire.feed import LoadReport, LoadSums

DECAY_TIME: Millis = 2_000
"""Time after which 0.37 of a service still counts. It makes a steady rate count as two
seconds of it; the mean age of what counts is that of the 4 s in which the platform
takes shares."""
SHORT_PART = 0.95
"""An account is short if it got less than this part of what it is due."""
LEAD = 1.15
"""How far an account may be ahead of one that is short before the other goes first:
well below 2, where the platform calls it unfair."""
STOP_LEAD = 1.3
"""How far an account may be ahead of one that is short at all. The platform compares
spans of six seconds, and counts lag; so it is well below 2 too."""
SCARCITY_RATIO = 1.25
"""How much more must be asked for than served for engines to be taken as full: more
than what waits for up to its objective while there is room for all."""
GIVEN_PART = 0.75
"""Part of the stated capacity that engines have to give for shares to be taken of it.
Down to here `LEAST_PART` of a stated share is at most 0.67 of what can be had, so the
bounds on leads still keep accounts within a factor of two."""
LEAST_PART = 0.5
"""Part of the fair share that an account gets without regard to others: one that has
just begun to ask has got nothing yet."""
MADE_TOKEN = 2
"""Service of a generated token against one that is read: the platform's measure."""


class Standing(Enum):
    """What a client account may claim now, by the service that it got of late."""

    WITHIN = auto()
    """Within its share of the capacity that the operators state."""
    EVEN = auto()
    """Beyond that, and not ahead of the others."""
    AHEAD = auto()
    """Beyond that, and ahead of what the others get."""
    STOPPED = auto()
    """So far ahead of one that is short that it gets nothing."""


@dataclass(frozen=True, slots=True)
class Shares:
    """Service of late up to which accounts have a standing; infinite for all.

    Args:
        stated: Share of the capacity that the operators state.
        even: Service beyond which an account is ahead of the others.
        stop: Service beyond which an account gets nothing.
    """

    stated: float = float("inf")
    even: float = float("inf")
    stop: float = float("inf")

    def standing(self, level: int) -> Standing:
        """Return what an account may claim that got so much."""
        if level <= self.stated:
            return Standing.WITHIN
        if level > self.stop:
            return Standing.STOPPED
        return Standing.AHEAD if level > self.even else Standing.EVEN


@dataclass(slots=True)
class _Decaying:
    """A sum of service that fades with time.

    It does not drop out of a window, where what an account got in one second counted in
    full for four and then not at all: one far ahead was stopped for three seconds, and
    all that were stopped together went on together.
    """

    value: float = 0.0
    at: Millis = 0

    def add(self, service: int, now: Millis) -> None:
        self.value = self.until(now) + service
        self.at = now

    def until(self, now: Millis) -> float:
        """Return what is left of it."""
        if not self.value:
            return 0.0
        return self.value * exp(-max(now - self.at, 0) / DECAY_TIME)


@dataclass(slots=True)
class _Account:
    served: _Decaying = field(default_factory=_Decaying)
    asked: _Decaying = field(default_factory=_Decaying)


class UsageTable:
    """Service by account of late, fading with `DECAY_TIME`."""

    def __init__(self) -> None:
        self._own: dict[str, _Account] = {}
        self._others: dict[str, UsageRow] = {}
        self._totals_at: Millis | None = None
        self.shares = Shares()

    def __repr__(self) -> str:
        return f"UsageTable(accounts={len(self._own)}, {self.shares!r})"

    def record_requested(self, account: str, service: int, now: Millis) -> None:
        """Count a request that arrived."""
        self._account(account).asked.add(service, now)

    def record_served(self, account: str, service: int, now: Millis) -> None:
        """Count a request that was sent to an upstream."""
        self._account(account).served.add(service, now)

    def recent_service(self, account: str, now: Millis) -> int:
        """Return the service that an account got of late, as far as is known."""
        others = self._others.get(account) if self._knows_others(now) else None
        own = round(self._account(account).served.until(now))
        return own + (others.served if others is not None else 0)

    def standing(self, account: str, now: Millis) -> Standing:
        """Return what an account may claim.

        Where the totals are too old nobody is held back by them: engines still refuse
        what they have no room for, and an account may long have got nothing.
        """
        if not self._knows_others(now):
            return Standing.WITHIN
        level = self.recent_service(account, now)
        return self.shares.standing(level)

    def sums_age(self, now: Millis) -> Millis:
        """Return the age of the sums gone by, or -1 before the first."""
        return now - self._totals_at if self._totals_at is not None else -1

    def rows(self, now: Millis) -> tuple[UsageRow, ...]:
        """Return the own rows for a report."""
        rows = []
        for name, account in list(self._own.items()):
            served = round(account.served.until(now))
            asked = round(account.asked.until(now))
            if served or asked:
                rows.append(UsageRow(name, served, asked))
            else:
                del self._own[name]
        return tuple(rows)

    def apply_sums(
        self,
        sums: LoadSums,
        own: LoadReport | None,
        *,
        capacity: int,
        now: Millis,
    ) -> None:
        """Take the sums of all entries and work out the fair share.

        Args:
            sums: The sums.
            own: The own report that they contain, or None.
            capacity: Service that all upstreams give in `DECAY_TIME`; 0 if unknown.
            now: Current time.
        """
        self._totals_at = now
        mine = {row.account: row for row in own.usage} if own is not None else {}
        self._others = {
            row.account: _minus(row, mine.get(row.account)) for row in sums.usage
        }
        self.shares = shares_of(sums.usage, capacity)

    def _knows_others(self, now: Millis) -> bool:
        return self._totals_at is not None and now - self._totals_at <= MAX_TOTALS_AGE

    def _account(self, name: str) -> _Account:
        return self._own.setdefault(name, _Account())


def shares_of(rows: Sequence[UsageRow], capacity: int) -> Shares:
    """Return the shares for what accounts asked for and got.

    Args:
        rows: The sums of all entries.
        capacity: Service that all upstreams give in `DECAY_TIME` as the operators
            state it; 0 if they do not.
    """
    demands = [max(row.requested, row.served) for row in rows]
    given = given_capacity(rows, capacity)
    # Unequal to the level below where engines give more than is stated: an account
    # within this share must not be refused for what others get beyond it.
    stated = fair_level(demands, min(capacity or given, given))
    level = fair_level(demands, given)
    stop = lead_level(rows, level, STOP_LEAD)
    if given < capacity:
        # The share is a guess there: what accounts got, and less is got once some stop.
        stop = max(stop, STOP_LEAD * stated)
    return Shares(
        stated=stated, even=min(level, lead_level(rows, level, LEAD)), stop=stop
    )


def given_capacity(rows: Sequence[UsageRow], capacity: int) -> int:
    """Return the service that upstreams give in `DECAY_TIME`, as far as is known.

    They may give more than is stated, or far less: engines are gone, their places are
    taken by long answers, or shared parts of prompts are read again. Were shares taken
    of what is stated then, every account would be within its share, and nothing would
    order those that come through different entries. Less is believed only while much
    of what is asked for is not served.

    Args:
        rows: What accounts asked for and got.
        capacity: What the operators state; 0 if nothing.
    """
    served = sum(row.served for row in rows)
    if served >= capacity * GIVEN_PART:
        return max(served, capacity)
    asked = sum(max(row.requested, row.served) for row in rows)
    return served if asked > SCARCITY_RATIO * served else capacity


def fair_level(demands: Iterable[int], capacity: int) -> float:
    """Return the max-min level: no demand gets more, and together they fit.

    Args:
        demands: What each account asks for.
        capacity: What there is.

    Returns:
        The level; infinite if everything fits.
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
    """Return the service beyond which accounts leave room to those that are short.

    An account may be short though engines have room for it, as when all its callers use
    one busy entry; others would take that room in the meantime.

    Args:
        rows: What each account asked for and got.
        level: The max-min level; infinite if there is enough for all.
        lead: How far others may be ahead of an account that is short.

    Returns:
        The level; infinite if no account is short that asks for its whole share.
    """
    if level == float("inf"):
        return level
    short = [
        row.served
        for row in rows
        if row.requested >= level and row.served < SHORT_PART * level
    ]
    if not short:
        return float("inf")
    return max(lead * min(short), LEAST_PART * level)


def _minus(row: UsageRow, own: UsageRow | None) -> UsageRow:
    if own is None:
        return row
    return UsageRow(
        row.account,
        max(row.served - own.served, 0),
        max(row.requested - own.requested, 0),
    )
