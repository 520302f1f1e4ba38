"""Upstreams that have left for good. No I/O.

Leaving is final for an incarnation and for all before it, whatever comes late; a later
start of the same upstream is not concerned.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from leadseam.incarnation import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_DEPARTED = 10_000
"""Upstreams remembered: days of a fleet's planned restarts, some 1 MB."""


class Departures:
    """The latest incarnation of each upstream that has left."""

    def __init__(self, departed: Iterable[Incarnation] = ()) -> None:
        self._born: OrderedDict[str, int] = OrderedDict()
        for incarnation in departed:
            self.add(incarnation)

    def __repr__(self) -> str:
        return f"Departures(upstreams={len(self._born)})"

    def __len__(self) -> int:
        return len(self._born)

    def __iter__(self) -> Iterator[Incarnation]:
        return (Incarnation(instance, born) for instance, born in self._born.items())

    def __contains__(self, incarnation: Incarnation) -> bool:
        born = self._born.get(incarnation.instance)
        return born is not None and incarnation.born <= born

    def add(self, incarnation: Incarnation) -> bool:
        """Note that an incarnation leaves; return whether that is new."""
        if incarnation in self:
            return False
        self._born[incarnation.instance] = incarnation.born
        self._born.move_to_end(incarnation.instance)
        while len(self._born) > MAX_DEPARTED:
            self._born.popitem(last=False)
        return True
