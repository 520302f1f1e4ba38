"""One line a second on the client accounts that an entry refuses. No I/O but the line.

Lines on single requests are bounded, so those of a busy entry are a sample, and they do
not tell what an account asked for and got. These do, with the bounds that held it.
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
"""Pause between two lines: fairness is judged second by second."""
MOST_ACCOUNTS = 8
"""Accounts on a line, so that it stays below some 1.5 KB: those refused most often, and
then those that asked for most."""

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _Second:
    """What became of an account's requests since the last line; service in tokens."""

    asked: int = 0
    placed: int = 0
    refused: Counter[str] = field(default_factory=Counter)


class AccountLog:
    """Counts by client account, written and begun anew each second.

    Args:
        usage: Standings and shares, named on the lines.
        clock: Source of time.
    """

    def __init__(self, usage: UsageTable, clock: Clock) -> None:
        self._usage = usage
        self._clock = clock
        self._accounts: dict[str, _Second] = {}

    def __repr__(self) -> str:
        return f"AccountLog(accounts={len(self._accounts)})"

    def record_requested(self, account: str, service: int) -> None:
        """Count a request that arrived."""
        self._second(account).asked += service

    def record_placed(self, account: str, service: int) -> None:
        """Count a request that was sent to an upstream."""
        self._second(account).placed += service

    def record_refusal(self, account: str, reason: Reason) -> None:
        """Count a request that did not run."""
        self._second(account).refused[reason.value] += 1

    async def run(self) -> None:
        """Write until cancelled."""
        while True:
            await sleep(INTERVAL)
            self.write()

    def write(self) -> None:
        """Write the line if an account was refused since the last one."""
        accounts, self._accounts = self._accounts, {}
        if not any(one.refused for one in accounts.values()):
            return
        names = sorted(
            accounts,
            key=lambda name: (
                -accounts[name].refused.total(),
                -accounts[name].asked,
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
            "accounts": [
                self._row(name, accounts[name], now) for name in names[:MOST_ACCOUNTS]
            ],
            "others": max(len(names) - MOST_ACCOUNTS, 0),
        }
        log.info("accounts refused", extra=extra)

    def _row(self, name: str, second: _Second, now: Millis) -> dict[str, object]:
        return {
            "account": name,
            "asked": second.asked,
            "placed": second.placed,
            "refused": dict(second.refused),
            "served_of_late": self._usage.recent_service(name, now),
            "standing": self._usage.standing(name, now).name.lower(),
        }

    def _second(self, account: str) -> _Second:
        return self._accounts.setdefault(account, _Second())


def _level(level: float) -> int | None:
    """Return a level as a line holds it; None for no bound."""
    return None if level == float("inf") else round(level)
