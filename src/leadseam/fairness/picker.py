"""The choice of the next account: least normalised service among those waiting.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) gives the rule for accounts that
come back from idle: they join at the level of the account served last.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.fairness.service import NORMAL_SCALE, OUTPUT_TOKEN

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.fairness.ledger import Ledger

MAX_DEBT = 20_000 * OUTPUT_TOKEN * NORMAL_SCALE


class Picker:
    """Orders accounts by the ledger's levels.

    Args:
        ledger: Service of each account.
        debt_cap: How far behind its turn an account may be put at most.
    """

    def __init__(self, ledger: Ledger, *, debt_cap: int = MAX_DEBT) -> None:
        self._ledger = ledger
        self._debt_cap = debt_cap
        self._level = 0

    def __repr__(self) -> str:
        return f"Picker(level={self._level})"

    def join(self, account: str) -> None:
        """Note that an idle account has work again."""
        self._ledger.raise_level(account, self._level)

    def pick(self, waiting: Iterable[str]) -> str | None:
        """Return the account whose turn it is.

        Args:
            waiting: Accounts with work that could start now.

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
