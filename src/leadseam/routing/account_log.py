"""Logs once a second which client accounts an entry refuses. The log is its only I/O.

Log lines about single requests are limited in number. Those of a busy entry are a
sample and do not show what an account requested and received. These lines do, together
with the limits that applied to the account.
"""

from __future__ import annotations

import logging
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep

if TYPE_CHECKING:
    from leadseam.outcome import Reason
    from leadseam.routing.usage import UsageTable

INTERVAL: Millis = 1_000
"""Pause between two lines. Fairness is evaluated for each second."""
MAX_ACCOUNTS = 8
"""Maximum accounts on a line, which keeps it below about 1.5 KB. The accounts refused
most often come first, then those that requested most."""

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _AccountCounts:
    """Counts of an account's requests since the last line.

    Args:
        requested: Service of the requests that arrived, in tokens.
        placed: Service of the requests that were sent to an upstream, in tokens.
        refused: Number of refused requests by reason.
    """

    requested: int = 0
    placed: int = 0
    refused: Counter[str] = field(default_factory=Counter)


class AccountLog:
    """Counts by client account, written and reset each second.

    Args:
        usage: Source of the standings and shares on the lines.
        clock: Source of time.
    """

    def __init__(self, usage: UsageTable, clock: Clock) -> None:
        self._usage = usage
        self._clock = clock
        self._accounts: dict[str, _AccountCounts] = {}

    def __repr__(self) -> str:
        return f"AccountLog(accounts={len(self._accounts)})"

    def record_requested(self, account: str, service: int) -> None:
        """Count the service of a request that arrived."""
        self._counts(account).requested += service

    def record_placed(self, account: str, service: int) -> None:
        """Count the service of a request that was sent to an upstream."""
        self._counts(account).placed += service

    def record_refusal(self, account: str, reason: Reason) -> None:
        """Count a request that was refused."""
        self._counts(account).refused[reason.value] += 1

    async def run(self) -> None:
        """Write a line each interval until cancelled."""
        while True:
            await sleep(INTERVAL)
            self.write()

    def write(self) -> None:
        """Write a line if any account was refused since the last call.

        The counts are reset in any case.
        """
        accounts, self._accounts = self._accounts, {}
        if not any(one.refused for one in accounts.values()):
            return
        names = sorted(
            accounts,
            key=lambda name: (
                -accounts[name].refused.total(),
                -accounts[name].requested,
                name,
            ),
        )
        now = self._clock.now()
        shares = self._usage.shares
        extra = {
            "sums_age_ms": self._usage.sums_age(now),
            "stated_level": _level(shares.stated),
            "even_level": _level(shares.even),
            "stop_level": _level(shares.stop),
            "engines_used": round(self._usage.used_part, 2),
            "accounts": [
                self._row(name, accounts[name], now) for name in names[:MAX_ACCOUNTS]
            ],
            "others": max(len(names) - MAX_ACCOUNTS, 0),
        }
        log.info("accounts refused", extra=extra)

    def _row(self, name: str, counts: _AccountCounts, now: Millis) -> dict[str, object]:
        return {
            "account": name,
            "asked": counts.requested,
            "placed": counts.placed,
            "refused": dict(counts.refused),
            "served_of_late": self._usage.recent_service(name, now),
            "asked_of_late": self._usage.recently_requested(name, now),
            "standing": self._usage.standing(name, now).name.lower(),
        }

    def _counts(self, account: str) -> _AccountCounts:
        return self._accounts.setdefault(account, _AccountCounts())


def _level(level: float) -> int | None:
    """Return a level for the log line, or None if there is no bound."""
    return None if level == float("inf") else round(level)
