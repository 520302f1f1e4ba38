"""An entry's evidence against requests and prompt parts that may crash upstreams.

No I/O. A broken attempt alone is weak evidence: connections are reset, answers are
lost. It counts against its request only if the upstream has ended too: connections to
it are refused, it has started again, another one holds its address, or it sends no
heartbeat until it expires. If the upstream answers later, or had announced that it
leaves, the break counts against no request. Nor does it count against what was
answered shortly before the end, or was answered since.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING, TypeVar

from leadseam.clock import Millis
from leadseam.crashes import evidence
from leadseam.crashes.answers import ANSWER_WEIGHS, RecentAnswers
from leadseam.crashes.table import CrashTable
from leadseam.wire.crashes import CrashRow

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.incarnation import Incarnation

T = TypeVar("T")

MIN_ANSWER_DELAY: Millis = 100
"""Time after a break from which an answer shows that the upstream still runs. Earlier
answers may have been in flight: they take a few ms, and up to 30 ms more if the event
loop is busy."""
UNDECIDED_LIMIT: Millis = 20_000
"""Time after which a break is dropped: an upstream that has ended expires after six
heartbeats, 7 s on today's deployments."""
MAX_UNDECIDED = 4_000
"""Most suspects kept, some 1 MB: the requests of a busy entry and their parts."""


class Presence(Enum):
    """State of an incarnation according to the registrations."""

    SERVES = auto()
    LEAVES = auto()
    GONE = auto()
    UNKNOWN = auto()


@dataclass(frozen=True, slots=True)
class Suspect:
    """A suspected request or prompt part, with the fields reported to replicas.

    Args:
        fingerprint: Fingerprint of the request or of the part.
        account: Client account that sent it, or an empty string.
        size: Bytes of the request's body; 0 for a part.
    """

    fingerprint: Fingerprint
    account: str
    size: int


@dataclass(frozen=True, slots=True)
class Findings:
    """Result of processing ends of upstreams.

    Args:
        rows: Rows that have changed and must be reported.
        convicted: Fingerprints that are convicted from now on.
    """

    rows: tuple[CrashRow, ...] = ()
    convicted: tuple[Fingerprint, ...] = ()


@dataclass(slots=True)
class _Break:
    """Attempts that broke at one upstream, which may have ended.

    Args:
        at: When the last of them broke.
        suspects: What they had in common, and whether each had just begun there.
    """

    at: Millis
    suspects: dict[Suspect, bool] = field(default_factory=dict)


class Suspects:
    """Undecided breaks of this entry, and the table that all entries share.

    A break is undecided until it is known whether its upstream has ended.

    Args:
        wall: Returns the wall time of this box in Unix milliseconds. Defaults to 0.
        answer_weighs: Time after an answer during which ends do not count against what
            was answered.

    Attributes:
        table: Ends of upstreams that this entry and the others have recorded.
    """

    def __init__(
        self,
        wall: Callable[[], Millis] = lambda: 0,
        *,
        answer_weighs: Millis = ANSWER_WEIGHS,
    ) -> None:
        self._wall = wall
        self.table = CrashTable()
        self._answers = RecentAnswers(answer_weighs)
        self._breaks: dict[Incarnation, _Break] = {}
        self._undecided: Counter[Suspect] = Counter()
        self._undecided_fingerprints: Counter[Fingerprint] = Counter()

    def __repr__(self) -> str:
        return f"Suspects(undecided={len(self._undecided)}, {self.table!r})"

    @property
    def undecided(self) -> bool:
        """Whether any break is undecided."""
        return bool(self._breaks)

    def record_break(
        self, suspect: Suspect, incarnation: Incarnation, now: Millis, *, early: bool
    ) -> bool:
        """Record an attempt that broke.

        Args:
            suspect: Its request, or a part of its prompt.
            incarnation: Upstream that ran it.
            now: Current time.
            early: Whether it had just begun there, and nothing was answered.

        Returns:
            Whether it is the first undecided break at this upstream.
        """
        first = incarnation not in self._breaks
        broken = self._breaks.setdefault(incarnation, _Break(now))
        broken.at = now
        if suspect in broken.suspects:
            broken.suspects[suspect] |= early
        elif len(self._undecided) < MAX_UNDECIDED:
            broken.suspects[suspect] = early
            self._undecided[suspect] += 1
            self._undecided_fingerprints[suspect.fingerprint] += 1
        return first

    def answered(self, incarnation: Incarnation, now: Millis) -> None:
        """Record an answer of an upstream; one that is late enough drops its break."""
        broken = self._breaks.get(incarnation)
        if broken is not None and now - broken.at >= MIN_ANSWER_DELAY:
            self._drop(incarnation)

    def ended(self, incarnation: Incarnation, now: Millis) -> Findings:
        """Record that an upstream has ended; return the findings."""
        broken = self._drop(incarnation)
        if broken is None:
            return Findings()
        rows = [
            _row(suspect, incarnation, early=early, stamp=self._wall())
            for suspect, early in broken.suspects.items()
            if not self._answers.excuse(suspect.fingerprint, broken.at)
        ]
        unconvicted = [row for row in rows if not self.table.convicts(row.fingerprint)]
        merged = [self.table.merge(row, now) for row in rows]
        return Findings(
            tuple(row for row in merged if row is not None),
            tuple(
                row.fingerprint
                for row in unconvicted
                if self.table.convicts(row.fingerprint)
            ),
        )

    def review(
        self, presence: Callable[[Incarnation], Presence], now: Millis
    ) -> Findings:
        """Check all undecided breaks against the registrations; return the findings.

        Args:
            presence: Returns the state of an incarnation.
            now: Current time.
        """
        findings = Findings()
        for incarnation, broken in list(self._breaks.items()):
            match presence(incarnation):
                case Presence.GONE:
                    ended = self.ended(incarnation, now)
                    findings = Findings(
                        findings.rows + ended.rows, findings.convicted + ended.convicted
                    )
                case Presence.LEAVES:
                    self._drop(incarnation)
                case _ if now - broken.at > UNDECIDED_LIMIT:
                    self._drop(incarnation)
        return findings

    def merge_reports(self, rows: Iterable[CrashRow], now: Millis) -> Findings:
        """Merge rows of other entries; return what they convict.

        Rows of what this entry has seen answered shortly before are void, and must be
        reported as such.
        """
        void = []
        convicted = []
        for row in rows:
            known = self.table.convicts(row.fingerprint)
            changed = self.table.merge(row, now) is not None
            if changed and self._answers.excuse(row.fingerprint, now):
                excused = self.table.void(row.fingerprint, now)
                void += [excused] if excused is not None else []
            if not known and self.table.convicts(row.fingerprint):
                convicted.append(row.fingerprint)
        return Findings(tuple(void), tuple(convicted))

    def acquit(self, suspect: Suspect, now: Millis) -> CrashRow | None:
        """Acquit a suspect after an answer; return its row if it changed."""
        self._answers.add(suspect.fingerprint, now)
        for broken in self._breaks.values():
            if suspect in broken.suspects:
                del broken.suspects[suspect]
                self._decide(suspect)
        return self.table.void(suspect.fingerprint, now)

    def would_be_convicted(self, suspect: Suspect) -> bool:
        """Return whether a suspect would be convicted if its upstreams have ended."""
        undecided = sum(
            evidence.weight(early=one.suspects[suspect])
            for one in self._breaks.values()
            if suspect in one.suspects
            and not self._answers.excuse(suspect.fingerprint, one.at)
        )
        known = self.table.weight(suspect.fingerprint)
        return known + undecided >= evidence.CONVICTION_WEIGHT

    def may_match(self, account: str, size: int) -> bool:
        """Return whether a request may be a suspect, before its body is hashed."""
        return self.table.may_match(account, size) or any(
            (one.account, one.size) == (account, size) for one in self._undecided
        )

    def is_suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether there is any evidence against a fingerprint."""
        return fingerprint in self.table or fingerprint in self._undecided_fingerprints

    def _drop(self, incarnation: Incarnation) -> _Break | None:
        broken = self._breaks.pop(incarnation, None)
        if broken is not None:
            for suspect in broken.suspects:
                self._decide(suspect)
        return broken

    def _decide(self, suspect: Suspect) -> None:
        """Count one undecided break less of a suspect."""
        _decrement(self._undecided, suspect)
        _decrement(self._undecided_fingerprints, suspect.fingerprint)


def _decrement(counts: Counter[T], key: T) -> None:
    """Count one less, and forget a key that is not counted any more."""
    counts[key] -= 1
    if not counts[key]:
        del counts[key]


def _row(
    suspect: Suspect, incarnation: Incarnation, *, early: bool, stamp: Millis
) -> CrashRow:
    return CrashRow(
        suspect.fingerprint,
        suspect.account,
        suspect.size,
        ended=(incarnation,),
        early=(incarnation,) if early else (),
        stamps=(stamp,),
    )
