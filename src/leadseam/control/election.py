"""Election timer and collected votes of one replica. No I/O.

Pre-vote: a replica first asks whether it could win, so that a replica that was
unreachable does not disrupt a group that has a leader. A replica that has a leader
grants no vote; the leader's lease relies on that
(`leadseam.control.raft.LEASE_DURATION`).
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.control.raft_log import Membership

ELECTION_TIMEOUT: Millis = 500
"""Minimum time without contact to the leader before an election; the randomized timeout
is at most twice that. A hundred times the round trip within a region, and four
heartbeats."""
PRE_VOTE_RETRY_DELAY: Millis = 150
"""Minimum delay before a failed election is retried; the randomized delay is at most
twice that. Thirty round trips within a region. A voter that has just started grants no
vote for one election timeout; with a whole timeout between attempts, a group whose
boxes were all killed had a leader 0.6 to 1.1 s after a quorum was running, while 0.5 s
is the minimum."""
BOOTSTRAP_DELAY: Millis = 150
"""Maximum delay of the first election in a newly bootstrapped group."""


class Election:
    """Election timer of one replica and the votes granted to it.

    Args:
        seed: Seed of the jitter.
        now: Time since which the replica has certainly not answered any leader.
    """

    def __init__(self, seed: int, now: Millis) -> None:
        self._random = random.Random(seed)
        # A restarted voter may have answered a leader just before it stopped, and that
        # leader's lease may still be valid.
        self._leader_contact_at = now
        self._due_at: Millis = 0
        self._pre_votes: set[str] = set()
        self._votes: set[str] = set()

    def __repr__(self) -> str:
        return f"Election(due_at={self._due_at}, votes={sorted(self._votes)})"

    @property
    def in_pre_vote(self) -> bool:
        """Whether the replica is collecting pre-votes."""
        return bool(self._pre_votes)

    # Timer

    def bootstrap(self, now: Millis) -> None:
        """Elect soon: no lease can exist in a group that was just bootstrapped."""
        self._leader_contact_at = now - ELECTION_TIMEOUT
        self._due_at = now + self._random.randrange(1, BOOTSTRAP_DELAY)

    def schedule_retry(self, now: Millis) -> None:
        """Schedule the next attempt in case the current one elects no leader."""
        jitter = self._random.randrange(PRE_VOTE_RETRY_DELAY)
        self._due_at = now + PRE_VOTE_RETRY_DELAY + jitter

    def put_off(self, now: Millis) -> None:
        """Restart the randomized election timeout."""
        jitter = self._random.randrange(ELECTION_TIMEOUT)
        self._due_at = now + ELECTION_TIMEOUT + jitter

    def is_due(self, now: Millis) -> bool:
        """Return whether the election timeout has passed."""
        return now >= self._due_at

    def record_leader_contact(self, now: Millis) -> None:
        """Record a message from the leader."""
        self._leader_contact_at = now
        self.put_off(now)

    def has_recent_leader(self, now: Millis) -> bool:
        """Return whether the leader was in contact within the election timeout."""
        return now - self._leader_contact_at < ELECTION_TIMEOUT

    # Votes

    def start_pre_vote(self, identity: str) -> None:
        """Start a pre-vote with the replica's own vote."""
        self._pre_votes = {identity}

    def start_vote(self, identity: str) -> None:
        """Start an election with the replica's own vote."""
        self._pre_votes.clear()
        self._votes = {identity}

    def clear_votes(self) -> None:
        """Discard all votes and pre-votes."""
        self._pre_votes.clear()
        self._votes.clear()

    def cancel_pre_vote(self) -> None:
        """Discard the pre-votes, so that they start no election."""
        self._pre_votes.clear()

    def add_pre_vote(self, name: str) -> None:
        """Record a granted pre-vote."""
        self._pre_votes.add(name)

    def granted(self, name: str) -> None:
        """Record a granted vote."""
        self._votes.add(name)

    def has_pre_vote_quorum(self, membership: Membership) -> bool:
        """Return whether a quorum would vote for this replica."""
        return membership.quorum(self._pre_votes)

    def is_won(self, membership: Membership) -> bool:
        """Return whether a quorum has voted for this replica."""
        return membership.quorum(self._votes)
