"""Records of each attempt's state, on which every "not run" is based. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from enum import IntEnum
from typing import NamedTuple

MAX_REMEMBERED = 20_000


class AttemptState(IntEnum):
    """States of an attempt; its value never decreases."""

    NEVER = 0
    STARTED = 1
    ENDED = 2


class AttemptKey(NamedTuple):
    """Identifies an attempt by the entry, its incarnation and a number."""

    entry: str
    incarnation: int
    attempt: int


class AttemptTable:
    """Records attempts so that repeated queries get the same answer.

    Args:
        capacity: Number of attempts recorded. Attempts evicted beyond it are reported
            as started, never as not started. Defaults to `MAX_REMEMBERED`.
    """

    def __init__(self, *, capacity: int = MAX_REMEMBERED) -> None:
        self._capacity = capacity
        self._states: OrderedDict[AttemptKey, AttemptState] = OrderedDict()
        self._forgotten: dict[tuple[str, int], int] = {}

    def __repr__(self) -> str:
        return f"AttemptTable({len(self._states)})"

    def start(self, key: AttemptKey) -> AttemptState | None:
        """Record the start of an attempt, if it is allowed.

        Returns:
            None if the attempt may start now, else the state that prevents it.
        """
        state = self._states.get(key)
        if state is None and not self._is_forgotten(key):
            self._remember(key, AttemptState.STARTED)
            return None
        return AttemptState.ENDED if state is None else state

    def end(self, key: AttemptKey) -> None:
        """Record that a started attempt has ended."""
        if key in self._states:
            self._states[key] = AttemptState.ENDED

    def refuse(self, key: AttemptKey) -> None:
        """Record that an attempt never starts, unless it has started already."""
        if key not in self._states and not self._is_forgotten(key):
            self._remember(key, AttemptState.NEVER)

    def has_started(self, key: AttemptKey) -> bool:
        """Return whether an attempt has started; if not, prevent it from starting."""
        self.refuse(key)
        return self._states.get(key, AttemptState.ENDED) is not AttemptState.NEVER

    def _is_forgotten(self, key: AttemptKey) -> bool:
        limit = self._forgotten.get((key.entry, key.incarnation), 0)
        return key.attempt <= limit

    def _remember(self, key: AttemptKey, state: AttemptState) -> None:
        self._states[key] = state
        while len(self._states) > self._capacity:
            old, _ = self._states.popitem(last=False)
            source = (old.entry, old.incarnation)
            limit = self._forgotten.get(source, 0)
            self._forgotten[source] = max(limit, old.attempt)
