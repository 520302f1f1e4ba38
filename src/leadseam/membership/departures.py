"""Upstreams that have left for good. No I/O.

A departure is final for an incarnation and all earlier ones, whatever heartbeats arrive
late. It does not affect a later start of the same upstream.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from leadseam.incarnation import Incarnation

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_DEPARTED = 10_000
"""Most departures kept: several days of a fleet's planned restarts, some 1 MB."""


class Departures:
    """The latest incarnation of each upstream that has left.

    Args:
        departed: Incarnations to begin with.
    """

    def __init__(self, departed: Iterable[Incarnation] = ()) -> None:
        self._starts: OrderedDict[str, int] = OrderedDict()
        for incarnation in departed:
            self.add(incarnation)

    def __repr__(self) -> str:
        return f"Departures(upstreams={len(self._starts)})"

    def __len__(self) -> int:
        return len(self._starts)

    def __iter__(self) -> Iterator[Incarnation]:
        return (
            Incarnation(instance, start) for instance, start in self._starts.items()
        )

    def __contains__(self, incarnation: Incarnation) -> bool:
        start = self._starts.get(incarnation.instance)
        return start is not None and incarnation.start <= start

    def add(self, incarnation: Incarnation) -> bool:
        """Record that an incarnation leaves; return whether that is new."""
        if incarnation in self:
            return False
        self._starts[incarnation.instance] = incarnation.start
        self._starts.move_to_end(incarnation.instance)
        while len(self._starts) > MAX_DEPARTED:
            self._starts.popitem(last=False)
        return True
