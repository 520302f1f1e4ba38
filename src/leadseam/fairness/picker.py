"""Selection of the next account: the one with the least normalised service.

Accounts that become active again follow start-time fair queueing (Goyal, Vin and Cheng,
1996): they join at the level of the account that was served last.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.fairness.service import NORMAL_SCALE, OUTPUT_TOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.fairness.ledger import Ledger

MAX_DEBT = 20_000 * OUTPUT_TOKEN * NORMAL_SCALE
"""Normalised service of 20,000 output tokens at a share of 1."""


class Picker:
    """Orders accounts by their levels in the ledger.

    Args:
        ledger: Service of each account.
        debt_cap: Service above the current level beyond which an account is not put
            back further. Defaults to `MAX_DEBT`.
    """

    def __init__(self, ledger: Ledger, *, debt_cap: int = MAX_DEBT) -> None:
        self._ledger = ledger
        self._debt_cap = debt_cap
        self._level = 0

    def __repr__(self) -> str:
        return f"Picker(level={self._level})"

    def join(self, account: str) -> None:
        """Record that an idle account has requests again."""
        self._ledger.raise_level(account, self._level)

    def pick(self, waiting: Iterable[str]) -> str | None:
        """Return the account to serve next.

        Args:
            waiting: Accounts with requests that could start now.

        Returns:
            The account with the least service, or None if there is none.
        """
        chosen = min(waiting, key=self._order_key, default=None)
        if chosen is not None:
            self._level = max(self._level, self._ledger.level(chosen))
        return chosen

    def _order_key(self, account: str) -> tuple[int, int, str]:
        level = self._ledger.level(account)
        return min(level, self._level + self._debt_cap), level, account
