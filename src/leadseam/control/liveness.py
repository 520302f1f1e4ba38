"""Since when the members of the control group have been silent. No I/O.

Only the leader asks all members, many times a second, so it is the one that finds a
member gone. What it knows outlives it: it tells its followers who is silent and for how
long, and the next leader goes on counting from there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.control.raft_log import Membership

VOTER_TIMEOUT: Millis = 1_500
"""Silence after which a voter is taken for gone: twelve heartbeats. A box that is gone
has to be out of the group 4 s after its successor's start, through an election or two
of up to 1.3 s each; one that was only away joins again within a second."""
LEARNER_TIMEOUT: Millis = 10_000
"""Silence after which a learner is dropped. It costs no quorum, and it may be storing a
snapshot meanwhile; it asks again if it runs."""
MIN_REPORTED_SILENCE: Millis = 500
"""Silence that a leader tells its followers of: four heartbeats. With two leaders
replaced within 4 s and nothing told, the first one stayed a voter for 7.3 s."""
NEW_LEADER_GRACE_PERIOD: Millis = 240
"""Time that all members have to answer a new leader before it takes any for gone: two
heartbeats."""


class Liveness:
    """When members last answered this replica, or the leader before it."""

    def __init__(self) -> None:
        self._answered: dict[str, Millis] = {}
        self._reported: dict[str, Millis] = {}
        self._stopping: set[str] = set()
        self._elected_at: Millis = 0

    def __repr__(self) -> str:
        return f"Liveness(answered={self._answered!r}, stopping={self._stopping!r})"

    def answered(self, name: str, now: Millis, *, stops: bool = False) -> None:
        """Note that a replica has answered this one.

        Args:
            name: Its identity.
            now: Current time.
            stops: Whether it said that it is about to stop.
        """
        self._answered[name] = now
        if stops:
            self._stopping.add(name)
        else:
            self._stopping.discard(name)

    def leader_reported(
        self, leader: str, silent: Iterable[tuple[str, Millis]], now: Millis
    ) -> None:
        """Take the word of the leader; its own silence begins with it.

        Args:
            leader: Its identity.
            silent: Members that it does not hear, and for how long.
            now: Current time.
        """
        self._reported = {name: now - millis for name, millis in silent}
        self._reported[leader] = now

    def became_leader(self, now: Millis) -> None:
        """Begin to ask all members, as their leader."""
        self._elected_at = now
        self._stopping.clear()

    def retain(self, members: Collection[str]) -> None:
        """Drop what is known of replicas that are not in the group."""
        for known in (self._answered, self._reported):
            for name in set(known).difference(members):
                del known[name]
        self._stopping.intersection_update(members)

    def last_answer(self, name: str, now: Millis) -> Millis | None:
        """Return how long ago a replica answered this one; None if it never did."""
        at = self._answered.get(name)
        return None if at is None else now - at

    def silences(
        self, names: Iterable[str], now: Millis
    ) -> tuple[tuple[str, Millis], ...]:
        """Return the members that a leader's followers have to know to be silent."""
        silences = [(name, self._silence(name, now)) for name in names]
        return tuple(one for one in silences if one[1] > MIN_REPORTED_SILENCE)

    def gone(self, membership: Membership, now: Millis) -> list[str]:
        """Return the members taken for gone, the one silent for longest first."""
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
        """Return for how long a member has answered neither leader."""
        before = self._reported.get(name, self._elected_at)
        return now - max(before, self._answered.get(name, before))
