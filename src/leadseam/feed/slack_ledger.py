"""Shares of the slack of the fleet's retry budget, leased by the leader. No I/O.

The leader of the control group gives each entry a share of each pool's slack for a
short time, by what the entry needs. A share counts as used until no window can contain
a retry made with it, whether the entry still runs or not. So all shares that a window
can contain add up to the slack at most. A new leader only renews shares that entries
still hold, until those of the leader before it have stopped to count.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.routing.retry_budget import SEND_DELAY
from leadseam.wire.feed import SlackShare

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.routing.retry_budget import RetryLimits
    from leadseam.wire.feed import SlackNeed

LEASE: Millis = 2_000
"""Time for which an entry may use a share, from its last message that the leader has
received: four feed heartbeats."""
EVEN_PART = 2
"""Divisor of the slack that is shared out evenly, needed or not, so that the first
retries of an outage need not wait for a lease."""


@dataclass(slots=True)
class _Charge:
    """Shares of one entry that still count; amounts in descending order.

    The first one is the largest.
    """

    leases: deque[tuple[Millis, int]] = field(default_factory=deque)

    @property
    def amount(self) -> int:
        return self.leases[0][1] if self.leases else 0

    def add(self, until: Millis, amount: int) -> None:
        while self.leases and self.leases[-1][1] <= amount:
            self.leases.pop()
        self.leases.append((until, amount))

    def expire(self, now: Millis) -> None:
        while self.leases and self.leases[0][0] <= now:
            self.leases.popleft()


class SlackLedger:
    """Leases shares of the slack to entries, for each pool.

    Args:
        limits: Limits on retries.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._slack = limits.slack
        self._counted = LEASE + limits.window + SEND_DELAY
        self._term: int | None = None
        self._leads_since: Millis = 0
        self._pools: dict[str, dict[str, _Charge]] = {}
        self._leased: dict[str, int] = {}

    def __repr__(self) -> str:
        return f"SlackLedger({self._leased})"

    @property
    def leased(self) -> dict[str, int]:
        """Sum of the shares that still count, by pool."""
        return dict(self._leased)

    def lead(self, term: int | None, now: Millis) -> None:
        """Begin anew if the group has elected another leader.

        Args:
            term: Term in which this replica leads, or None if it does not.
            now: Current time.
        """
        if term == self._term:
            return
        self._term = term
        self._leads_since = now
        self._pools.clear()
        self._leased.clear()

    def expire(self, now: Millis) -> None:
        """Drop shares that no longer count."""
        for pool, charges in list(self._pools.items()):
            for entry in list(charges):
                charges[entry].expire(now)
                if not charges[entry].leases:
                    del charges[entry]
            self._leased[pool] = sum(one.amount for one in charges.values())

    def lease(
        self, entry: str, needs: Iterable[SlackNeed], now: Millis
    ) -> tuple[SlackShare, ...]:
        """Lease shares to an entry for `LEASE`, in place of those that it has.

        Args:
            entry: Identifier of the entry's process.
            needs: What it needs, by pool.
            now: Current time.

        Returns:
            The shares; none if this replica does not lead.
        """
        if self._term is None:
            return ()
        knows_all = now - self._leads_since >= self._counted
        return tuple(
            self._lease(entry, need, now, knows_all=knows_all) for need in needs
        )

    def _lease(
        self, entry: str, need: SlackNeed, now: Millis, *, knows_all: bool
    ) -> SlackShare:
        charges = self._pools.setdefault(need.pool, {})
        charge = charges.setdefault(entry, _Charge())
        before = charge.amount
        leased = self._leased.get(need.pool, 0)
        share = need.held
        if knows_all:
            free = max(self._slack - leased, 0)
            even = self._slack // EVEN_PART // len(charges)
            # Never all that is free, so that other entries get some at the same time.
            share = min(max(need.retries, even), before + (free + 1) // 2)
        charge.add(now + self._counted, share)
        self._leased[need.pool] = leased - before + charge.amount
        return SlackShare(need.pool, share)
