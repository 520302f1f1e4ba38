"""Health of the control group as seen by one replica: missing and spare voters.

The leader gets answers from every voter. A replica without a leader knows which voters
answered its election attempts. A follower with a leader has no information about the
other voters.
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
"""Silence after which a voter counts as missing: eight heartbeats, or three election
attempts."""
CHECK_INTERVAL: Millis = 500
"""Interval between two checks, which limits the number of log lines."""
REPEAT_INTERVAL: Millis = 5_000
"""Interval at which an unchanged lack of a quorum is logged again."""

UNKNOWN = float("nan")
NOTHING_REPORTED: tuple[bool, int, frozenset[str]] = (False, -1, frozenset())

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class MissingVoter:
    """A voter that has not answered within `ANSWER_TIMEOUT`.

    Args:
        name: Identity of the voter.
        silent_ms: Time since its last answer, or -1 if it never answered this replica.
    """

    name: str
    silent_ms: Millis


@dataclass(frozen=True, slots=True)
class GroupHealth:
    """Which voters of the group answer.

    Args:
        leads: Whether the reporting replica is the leader.
        voters: Number of voters; 0 on a replica that is not a voter.
        missing: Voters that do not answer.
    """

    leads: bool
    voters: int
    missing: tuple[MissingVoter, ...]

    @property
    def needed(self) -> int:
        """Number of voters that form a quorum."""
        return self.voters // 2 + 1

    @property
    def answering(self) -> int:
        """Number of voters that answer, including this replica if it is a voter."""
        return self.voters - len(self.missing)

    @property
    def spare(self) -> int:
        """Number of voters that may still be lost; negative without a quorum."""
        return self.answering - self.needed


class HealthReporter:
    """Sets gauges for the health of the group and logs its changes.

    Args:
        metrics: Metrics that contain the gauges.
    """

    def __init__(self, metrics: ControlMetrics) -> None:
        self._metrics = metrics
        self._next_check: Millis = 0
        self._reported = NOTHING_REPORTED
        self._reported_at: Millis = 0

    def check(self, now: Millis, raft: Raft) -> None:
        """Update the gauges, and log the health if it has changed."""
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
        """Report no health while another replica leads, which has more information."""
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
            "missing": {voter.name: voter.silent_ms for voter in health.missing},
            "last_index": raft.log.last_index,
        }
        if not health.voters:
            log.warning("not a member of a group", extra=extra)
        elif health.spare < 0:
            log.warning("no quorum", extra=extra)
        else:
            log.info("group health", extra=extra)


def _summary(health: GroupHealth) -> tuple[bool, int, frozenset[str]]:
    names = frozenset(voter.name for voter in health.missing)
    return health.leads, health.voters, names
