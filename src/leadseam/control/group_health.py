"""What one replica can tell of the control group: who answers, and what it bears.

The leader hears of every voter. A replica without a leader knows who answered its
attempts to be elected. A follower that hears a leader knows nothing of the others.
"""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.control.raft import Raft
    from leadseam.runtime.metrics import ControlMetrics

ANSWER_TIMEOUT: Millis = 1_000
"""Silence from which on a voter counts as missing: eight heartbeats, or three attempts
to be elected."""
CHECK_INTERVAL: Millis = 500
"""Pause between two looks, which bounds the lines written."""
REPEAT_INTERVAL: Millis = 5_000
"""Pause after which the same lack of a quorum is told again."""

UNKNOWN = float("nan")
NOTHING_REPORTED: tuple[bool, int, frozenset[str]] = (False, -1, frozenset())

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class MissingVoter:
    """A voter that does not answer.

    Args:
        name: Its identity.
        silent_ms: Since when, or -1 if it has never answered this replica.
    """

    name: str
    silent_ms: Millis


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """Who of the group answers.

    Args:
        leads: Whether the replica that tells this leads the group.
        voters: Number of voters; 0 on a box that nobody has taken in yet.
        missing: Voters that do not answer.
    """

    leads: bool
    voters: int
    missing: tuple[MissingVoter, ...]

    @property
    def needed(self) -> int:
        """Voters that have to answer for anything to be decided."""
        return self.voters // 2 + 1

    @property
    def answering(self) -> int:
        """Voters that answer, this replica included if it votes."""
        return self.voters - len(self.missing)

    @property
    def spare(self) -> int:
        """Further voters that may be lost; below 0, as many have to come back."""
        return self.answering - self.needed


class HealthReporter:
    """Writes a line and sets gauges when the health of the group changes.

    Args:
        metrics: Where the gauges are.
    """

    def __init__(self, metrics: ControlMetrics) -> None:
        self._metrics = metrics
        self._next_check: Millis = 0
        self._reported = NOTHING_REPORTED
        self._reported_at: Millis = 0

    def check(self, now: Millis, raft: Raft) -> None:
        """Tell what has changed since the last look."""
        if now < self._next_check:
            return
        self._next_check = now + CHECK_INTERVAL
        health = raft.health(now)
        self._metrics.leads.set({}, int(raft.leads))
        self._metrics.voters.set({}, len(raft.membership.voters))
        if health is None:
            self._defer_to_leader(raft.leader)
            return
        self._metrics.voters_missing.set({}, len(health.missing))
        self._metrics.spare_voters.set({}, health.spare)
        if self._should_report(now, health):
            self._report(now, health, raft)

    def _defer_to_leader(self, leader: str) -> None:
        """Say nothing of the others while another replica leads, which knows more."""
        self._metrics.voters_missing.set({}, UNKNOWN)
        self._metrics.spare_voters.set({}, UNKNOWN)
        if self._reported != NOTHING_REPORTED:
            self._reported = NOTHING_REPORTED
            log.info("a leader is heard", extra={"leader": leader})

    def _should_report(self, now: Millis, health: GroupHealth) -> bool:
        if _summary(health) != self._reported:
            return True
        return health.spare < 0 and now - self._reported_at >= REPEAT_INTERVAL

    def _report(self, now: Millis, health: GroupHealth, raft: Raft) -> None:
        self._reported = _summary(health)
        self._reported_at = now
        extra = {
            "leads": health.leads,
            "term": raft.term,
            "voters": health.voters,
            "needed": health.needed,
            "spare": health.spare,
            "missing": {one.name: one.silent_ms for one in health.missing},
            "last_index": raft.log.last_index,
        }
        if not health.voters:
            log.warning("not a member of a group", extra=extra)
        elif health.spare < 0:
            log.warning("no quorum", extra=extra)
        else:
            log.info("group health", extra=extra)


def _summary(health: GroupHealth) -> tuple[bool, int, frozenset[str]]:
    names = frozenset(one.name for one in health.missing)
    return health.leads, health.voters, names
