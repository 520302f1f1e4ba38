"""Upstreams that may have started again since their last registration. No I/O.

An upstream that keeps its id over a start accepts requests that expect this id before
its first heartbeat states the new start. It may run another version by then, so no
stream is continued there until the start is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.incarnation import NO_START

if TYPE_CHECKING:
    from collections.abc import Sequence

    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

CONFIRM_TIME: Millis = 4_000
"""Time after a lost connection within which a start would have become known: three
heartbeats of 1.2 s."""


class UnconfirmedUpstreams:
    """Incarnations whose connections have broken off recently."""

    def __init__(self) -> None:
        self._until: dict[Incarnation, Millis] = {}

    def __repr__(self) -> str:
        return f"UnconfirmedUpstreams({list(self._until)})"

    def disconnected(self, incarnation: Incarnation, now: Millis) -> None:
        """Record that a connection was refused, or broke off during an answer.

        An upstream without a start time gets a new id at each start and refuses
        requests that are meant for the former one.
        """
        if incarnation.start != NO_START:
            self._until[incarnation] = now + CONFIRM_TIME

    def exclude(
        self, rows: Sequence[Registration], now: Millis
    ) -> Sequence[Registration]:
        """Return the upstreams that have certainly not started again."""
        if not self._until:
            return rows
        return [row for row in rows if self._until.get(row.incarnation, 0) <= now]

    def sweep(self, now: Millis) -> None:
        """Drop what no longer excludes anything."""
        self._until = {key: until for key, until in self._until.items() if until > now}
