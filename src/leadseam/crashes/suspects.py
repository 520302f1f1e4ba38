"""What an entry has seen of requests that may end upstreams. No I/O.

An attempt that breaks says little by itself: connections are reset, answers are lost.
It speaks against its request only if the upstream has ended too: connections to it are
refused, it has started again, another one holds its address, or it is silent until it
expires. An upstream that answers later, or that has announced its end, speaks against
nobody.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.crashes import evidence
from leadseam.crashes.table import CrashTable
from leadseam.wire.crashes import CrashRow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.incarnation import Incarnation

SIGN_OF_LIFE: Millis = 100
"""Time after a break from which an answer shows that the upstream goes on. Earlier ones
may have been on their way: they take a few ms, and wait for a busy loop up to 30 ms."""
UNDECIDED_LIMIT: Millis = 20_000
"""Time after which a break is forgotten: an upstream that has ended expires after six
heartbeats, 7 s on today's deployments."""
MAX_UNDECIDED = 2_000
"""Breaks kept at a time, some 0.5 MB: every request of a busy entry, twice over."""


class Presence(Enum):
    """What registrations say of an incarnation."""

    SERVES = auto()
    LEAVES = auto()
    GONE = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class Suspect:
    """A request as far as it is told to others.

    Args:
        fingerprint: What is the same when it is sent again.
        account: Client account that sent it, or an empty text.
        size: Bytes of its body.
    """

    fingerprint: Fingerprint
    account: str
    size: int


@dataclass(frozen=True, slots=True)
class Findings:
    """What was learned from ends of upstreams.

    Args:
        rows: What is news to the others.
        convicted: Requests that are refused from now on.
    """

    rows: tuple[CrashRow, ...] = ()
    convicted: tuple[Fingerprint, ...] = ()


@dataclass(slots=True)
class _Break:
    """Attempts that broke at one upstream, which may have ended.

    Args:
        at: When the last of them broke.
        suspects: Their requests, and whether they had just begun there.
    """

    at: Millis
    suspects: dict[Suspect, bool] = field(default_factory=dict)


class Suspects:
    """Breaks that are undecided, and what all entries know.

    Attributes:
        table: What this entry and the others have seen.
    """

    def __init__(self) -> None:
        self.table = CrashTable()
        self._breaks: dict[Incarnation, _Break] = {}
        self._undecided = 0

    def __repr__(self) -> str:
        return f"Suspects(undecided={self._undecided}, {self.table!r})"

    @property
    def undecided(self) -> bool:
        """Whether it is not known yet of some upstream if it has ended."""
        return bool(self._breaks)

    def record_break(
        self, suspect: Suspect, incarnation: Incarnation, now: Millis, *, early: bool
    ) -> bool:
        """Note an attempt that broke.

        Args:
            suspect: Its request.
            incarnation: Where it ran.
            now: Current time.
            early: Whether it had just begun there, and nothing was answered.

        Returns:
            Whether it is the first at this upstream that is undecided.
        """
        first = incarnation not in self._breaks
        broken = self._breaks.setdefault(incarnation, _Break(now))
        broken.at = now
        if suspect in broken.suspects:
            broken.suspects[suspect] |= early
        elif self._undecided < MAX_UNDECIDED:
            broken.suspects[suspect] = early
            self._undecided += 1
        return first

    def answered(self, incarnation: Incarnation, now: Millis) -> None:
        """Note that an upstream has answered."""
        broken = self._breaks.get(incarnation)
        if broken is not None and now - broken.at >= SIGN_OF_LIFE:
            self._drop(incarnation)

    def ended(self, incarnation: Incarnation, now: Millis) -> Findings:
        """Note that an upstream has ended; return what is learned from it."""
        broken = self._drop(incarnation)
        if broken is None:
            return Findings()
        rows = [
            _row(suspect, incarnation, early=early)
            for suspect, early in broken.suspects.items()
        ]
        free = [row for row in rows if not self.table.convicts(row.fingerprint)]
        merged = [self.table.merge(row, now) for row in rows]
        return Findings(
            tuple(row for row in merged if row is not None),
            tuple(
                row.fingerprint for row in free if self.table.convicts(row.fingerprint)
            ),
        )

    def review(
        self, presence: Callable[[Incarnation], Presence], now: Millis
    ) -> Findings:
        """Look at what registrations say; return what is learned from it."""
        news = Findings()
        for incarnation, broken in list(self._breaks.items()):
            match presence(incarnation):
                case Presence.GONE:
                    ended = self.ended(incarnation, now)
                    news = Findings(
                        news.rows + ended.rows, news.convicted + ended.convicted
                    )
                case Presence.LEAVES:
                    self._drop(incarnation)
                case _ if now - broken.at > UNDECIDED_LIMIT:
                    self._drop(incarnation)
        return news

    def merge_reports(
        self, rows: Iterable[CrashRow], now: Millis
    ) -> tuple[Fingerprint, ...]:
        """Take what others have seen; return the requests that are convicted by it."""
        fresh = []
        for row in rows:
            known = self.table.convicts(row.fingerprint)
            self.table.merge(row, now)
            if not known and self.table.convicts(row.fingerprint):
                fresh.append(row.fingerprint)
        return tuple(fresh)

    def acquit(self, suspect: Suspect, now: Millis) -> CrashRow | None:
        """Acquit a request that has run to its end; return what is news, if any."""
        for broken in self._breaks.values():
            if suspect in broken.suspects:
                del broken.suspects[suspect]
                self._undecided -= 1
        return self.table.void(suspect.fingerprint, now)

    def would_be_convicted(self, suspect: Suspect) -> bool:
        """Tell whether a request would be convicted if its upstreams have ended."""
        undecided = sum(
            evidence.weight(early=one.suspects[suspect])
            for one in self._breaks.values()
            if suspect in one.suspects
        )
        known = self.table.weight(suspect.fingerprint)
        return known + undecided >= evidence.CONVICTION_WEIGHT

    def may_match(self, account: str, size: int) -> bool:
        """Tell whether a request may be known, before its body is digested."""
        return self.table.may_hold(account, size) or any(
            (one.account, one.size) == (account, size)
            for broken in self._breaks.values()
            for one in broken.suspects
        )

    def _drop(self, incarnation: Incarnation) -> _Break | None:
        broken = self._breaks.pop(incarnation, None)
        if broken is not None:
            self._undecided -= len(broken.suspects)
        return broken


def _row(suspect: Suspect, incarnation: Incarnation, *, early: bool) -> CrashRow:
    return CrashRow(
        suspect.fingerprint,
        suspect.account,
        suspect.size,
        ended=(incarnation,),
        early=(incarnation,) if early else (),
    )
