"""Upstreams that may have started again since their last registration. No I/O.

An upstream that keeps its id over a start accepts requests that expect this id before
its first heartbeat states the new start. It may run another version by then, so no
stream is continued there until the start is known.

Connections end with the process that accepted them, and their loss may be noticed late.
The process is the same if it answers a request that was written after the loss was
noticed, on a connection that was open when the lost one was last heard.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.incarnation import NO_START

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

CONFIRM_TIME: Millis = 4_000
"""Time after a lost connection within which a start would have become known: three
heartbeats of 1.2 s."""
NEVER: Millis = -1
"""Time before all others."""


@dataclass(frozen=True, slots=True)
class _Loss:
    """A lost connection.

    Args:
        alive_at: When the upstream was last heard on it; `NEVER` if it was refused.
        noticed: When the loss was noticed.
    """

    alive_at: Millis
    noticed: Millis

    @property
    def until(self) -> Millis:
        """Time from which a start before the loss would be known."""
        return self.noticed + CONFIRM_TIME

    def is_explained(self, connected: Millis, written: Millis) -> bool:
        """Return whether an answer shows that the process outlived the loss."""
        return connected < self.alive_at and written > self.noticed


@dataclass(frozen=True, slots=True)
class _Waiting:
    since: Millis
    call: Callable[[], None]


class UnconfirmedUpstreams:
    """Incarnations whose connections have broken off recently."""

    def __init__(self) -> None:
        self._losses: dict[Incarnation, list[_Loss]] = {}
        self._waiting: dict[Incarnation, list[_Waiting]] = {}

    def __repr__(self) -> str:
        return f"UnconfirmedUpstreams({list(self._losses)})"

    def disconnected(
        self, incarnation: Incarnation, now: Millis, *, alive_at: Millis = NEVER
    ) -> None:
        """Record that a connection was refused, or broke off during an answer.

        An upstream without a start time gets a new id at each start and refuses
        requests that are meant for the former one.

        Args:
            incarnation: The upstream.
            now: Current time.
            alive_at: When it was last heard on that connection; `NEVER` if refused.
        """
        if incarnation.start == NO_START:
            return
        losses = self._losses.setdefault(incarnation, [])
        # What explains a later loss of a connection that was heard before explains
        # the earlier one too, and its doubt ends later.
        losses[:] = [one for one in losses if one.alive_at < alive_at]
        losses.append(_Loss(alive_at, now))

    def answered(
        self, incarnation: Incarnation, connected: Millis, written: Millis
    ) -> bool:
        """Record an answer to a request, which may show that the process is the same.

        Args:
            incarnation: Upstream that answered.
            connected: When the connection was opened.
            written: When the request was written.

        Returns:
            Whether the upstream was in doubt and no longer is.
        """
        losses = self._losses.get(incarnation)
        if losses is None:
            return False
        losses[:] = [
            one
            for one in losses
            if one.until > written and not one.is_explained(connected, written)
        ]
        if losses:
            return False
        del self._losses[incarnation]
        for waiting in self._waiting.pop(incarnation, ()):
            if waiting.since <= written:
                waiting.call()
        return True

    def when_confirmed(
        self, incarnation: Incarnation, call: Callable[[], None], now: Millis
    ) -> None:
        """Call once an upstream in doubt proves to be the same process, if it does.

        Args:
            incarnation: The upstream.
            call: Called once, or never.
            now: Current time; the proof has to be of a later time.
        """
        self._waiting.setdefault(incarnation, []).append(_Waiting(now, call))

    def exclude(
        self, rows: Sequence[Registration], now: Millis
    ) -> Sequence[Registration]:
        """Return the upstreams that have certainly not started again."""
        if not self._losses:
            return rows
        return [row for row in rows if not self._is_in_doubt(row, now)]

    def sweep(self, now: Millis) -> None:
        """Drop what no longer excludes anything."""
        for incarnation, losses in list(self._losses.items()):
            losses[:] = [one for one in losses if one.until > now]
            if not losses:
                del self._losses[incarnation]
        self._waiting = {
            key: rows for key, rows in self._waiting.items() if key in self._losses
        }

    def _is_in_doubt(self, row: Registration, now: Millis) -> bool:
        losses = self._losses.get(row.incarnation, ())
        return any(one.until > now for one in losses)
