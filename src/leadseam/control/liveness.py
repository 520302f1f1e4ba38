"""How long the members of the control group have been silent. No I/O.

Only the leader contacts all members, many times a second, so only the leader detects
that a member is gone: silent beyond its timeout, or about to stop. The leader reports
to its followers which members are silent and for how long, so that the next leader
continues the count instead of starting from zero.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.control.raft_log import Membership

VOTER_TIMEOUT: Millis = 1_500
"""Silence after which a voter is considered gone: twelve heartbeats. A box that is gone
has to be out of the group 4 s after its replacement has started, including one or two
elections of up to 1.3 s each. A box that was only unreachable joins again within a
second."""
LEARNER_TIMEOUT: Millis = 10_000
"""Silence after which a learner is removed. It does not count for quorums, and it may
be storing a snapshot in the meantime; if it is running, it asks to join again."""
MIN_REPORTED_SILENCE: Millis = 500
"""Minimum silence that a leader reports to its followers: four heartbeats. Without such
reports, when two leaders were replaced within 4 s, the first one stayed a voter for
7.3 s."""
NEW_LEADER_GRACE_PERIOD: Millis = 240
"""Time that members have to answer a new leader before it considers any of them gone
for its silence: two heartbeats."""


class Liveness:
    """Times at which members last answered this replica or the previous leader."""

    def __init__(self) -> None:
        self._answered: dict[str, Millis] = {}
        self._reported: dict[str, Millis] = {}
        self._stopping: set[str] = set()
        self._elected_at: Millis = 0

    def __repr__(self) -> str:
        return f"Liveness(answered={self._answered!r}, stopping={self._stopping!r})"

    def answered(self, name: str, now: Millis, *, stops: bool = False) -> None:
        """Record an answer of another replica to this one.

        Args:
            name: Identity of the other replica.
            now: Current time.
            stops: Whether the answer announces that the other replica is about to stop.
        """
        self._answered[name] = now
        if stops:
            self._stopping.add(name)
        else:
            self._stopping.discard(name)

    def leader_reported(
        self, leader: str, silent: Iterable[tuple[str, Millis]], now: Millis
    ) -> None:
        """Record a leader's report, which also counts as a sign of life of the leader.

        Args:
            leader: Identity of the leader.
            silent: Members that do not answer it, and for how long.
            now: Current time.
        """
        self._reported = {name: now - millis for name, millis in silent}
        self._reported[leader] = now

    def became_leader(self, now: Millis) -> None:
        """Start the grace period of a new leader."""
        self._elected_at = now
        self._stopping.clear()

    def retain(self, members: Collection[str]) -> None:
        """Discard the records of all replicas but these members."""
        for known in (self._answered, self._reported):
            for name in set(known).difference(members):
                del known[name]
        self._stopping.intersection_update(members)

    def last_answer(self, name: str, now: Millis) -> Millis | None:
        """Return the time since a replica last answered this one, or None if never."""
        at = self._answered.get(name)
        return None if at is None else now - at

    def silences(
        self, names: Iterable[str], now: Millis
    ) -> tuple[tuple[str, Millis], ...]:
        """Return the silent members and their silences, for the report to followers."""
        silences = [(name, self._silence(name, now)) for name in names]
        return tuple(entry for entry in silences if entry[1] > MIN_REPORTED_SILENCE)

    def gone(self, membership: Membership, now: Millis) -> list[str]:
        """Return the members that are considered gone, the longest silent first."""
        gone = [
            name
            for name in membership.everyone
            if self._is_gone(name, now, votes=name in membership.voters)
        ]
        return sorted(gone, key=lambda name: self._silence(name, now), reverse=True)

    def _is_gone(self, name: str, now: Millis, *, votes: bool) -> bool:
        if name in self._stopping:
            return True
        if now - self._elected_at < NEW_LEADER_GRACE_PERIOD:
            return False
        limit = VOTER_TIMEOUT if votes else LEARNER_TIMEOUT
        return self._silence(name, now) > limit

    def _silence(self, name: str, now: Millis) -> Millis:
        """Return the time since a member answered this leader or the previous one."""
        before = self._reported.get(name, self._elected_at)
        return now - max(before, self._answered.get(name, before))
