"""When a replica asks to be elected, and who has granted it that. No I/O.

Pre-vote: a replica asks first whether it could win, so that one that was away does not
disturb a group that has a leader. Who hears a leader grants nothing, on which leases
rest (`leadseam.control.raft.LEASE`).
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.control.raft_log import Membership

ELECTION_TIMEOUT: Millis = 500
"""Least silence of a leader before an election; at most twice that. A hundred times the
round trip within a region, and four heartbeats."""
PRE_VOTE_RETRY_DELAY: Millis = 150
"""Least pause between two attempts to be elected, at most twice that: thirty round
trips within a region. A voter that has just started grants nothing for an election
timeout; with a whole timeout between attempts, a group of which all were killed had a
leader 0.6 to 1.1 s after its quorum ran, where 0.5 s has to pass."""
BOOTSTRAP_DELAY: Millis = 150
"""Longest wait for the first election of a group that never had a leader."""


class Election:
    """One replica's timer and the votes that it has.

    Args:
        seed: Seed of the jitter.
        now: Time from which on the replica has certainly answered no leader.
    """

    def __init__(self, seed: int, now: Millis) -> None:
        self._random = random.Random(seed)
        # A restarted voter may have heard a leader just before: its lease holds.
        self._leader_contact_at = now
        self._due_at: Millis = 0
        self._pre_votes: set[str] = set()
        self._votes: set[str] = set()

    def __repr__(self) -> str:
        return f"Election(due_at={self._due_at}, votes={sorted(self._votes)})"

    @property
    def in_pre_vote(self) -> bool:
        """Whether the replica asks if it could win."""
        return bool(self._pre_votes)

    # Times

    def bootstrap(self, now: Millis) -> None:
        """Elect soon: nobody can hold a lease in a group that was just founded."""
        self._leader_contact_at = now - ELECTION_TIMEOUT
        self._due_at = now + self._random.randrange(1, BOOTSTRAP_DELAY)

    def schedule_retry(self, now: Millis) -> None:
        """Set the time of the next attempt, should this one elect nobody."""
        jitter = self._random.randrange(PRE_VOTE_RETRY_DELAY)
        self._due_at = now + PRE_VOTE_RETRY_DELAY + jitter

    def put_off(self, now: Millis) -> None:
        """Wait for a whole timeout again."""
        jitter = self._random.randrange(ELECTION_TIMEOUT)
        self._due_at = now + ELECTION_TIMEOUT + jitter

    def is_due(self, now: Millis) -> bool:
        """Tell whether it is time to ask."""
        return now >= self._due_at

    def record_leader_contact(self, now: Millis) -> None:
        """Note a word of the leader."""
        self._leader_contact_at = now
        self.put_off(now)

    def has_recent_leader(self, now: Millis) -> bool:
        """Tell whether a leader was heard of late."""
        return now - self._leader_contact_at < ELECTION_TIMEOUT

    # Votes

    def start_pre_vote(self, identity: str) -> None:
        """Begin to ask who would vote for this replica."""
        self._pre_votes = {identity}

    def start_vote(self, identity: str) -> None:
        """Begin an election, with the vote of the replica itself."""
        self._pre_votes.clear()
        self._votes = {identity}

    def clear_votes(self) -> None:
        """Drop all that was granted."""
        self._pre_votes.clear()
        self._votes.clear()

    def cancel_pre_vote(self) -> None:
        """Drop what was granted before an election."""
        self._pre_votes.clear()

    def add_pre_vote(self, name: str) -> None:
        """Note who would vote for this replica."""
        self._pre_votes.add(name)

    def granted(self, name: str) -> None:
        """Note a vote."""
        self._votes.add(name)

    def has_pre_vote_quorum(self, membership: Membership) -> bool:
        """Tell whether a quorum would vote for this replica."""
        return membership.quorum(self._pre_votes)

    def is_won(self, membership: Membership) -> bool:
        """Tell whether a quorum has voted for this replica."""
        return membership.quorum(self._votes)
