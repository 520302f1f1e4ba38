"""Raft without I/O: the caller persists, sends and applies what `take_ready` returns.

Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): pre-vote and
check-quorum (9.6, 6.2), leases (6.4.1), learners and single-server membership
changes (4.1 to 4.2.1), log compaction (5).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.control.election import ELECTION_TIMEOUT, Election
from leadseam.control.group_health import ANSWER_TIMEOUT, GroupHealth, MissingVoter
from leadseam.control.liveness import Liveness
from leadseam.control.membership import (
    MembershipChange,
    VoterBounds,
    add_learner,
    next_change,
)
from leadseam.control.progress import Followers
from leadseam.control.raft_log import (
    EntryKind,
    HardState,
    Membership,
    RaftLog,
    SnapshotMetadata,
)
from leadseam.control.raft_types import Pending, Ready, Role
from leadseam.errors import InvariantError
from leadseam.wire.codec import encode
from leadseam.wire.consensus import (
    Append,
    AppendReply,
    Install,
    Join,
    LogEntry,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)

if TYPE_CHECKING:
    from leadseam.control.progress import Progress
    from leadseam.control.raft_types import RaftMessage, TermMessage

HEARTBEAT_INTERVAL: Millis = 120
LEASE_DURATION: Millis = 440
"""Time during which no other leader can be elected after a request was sent that a
quorum has answered. Shorter than the minimum election timeout by more than clocks drift
apart in that time."""
MAX_STALENESS: Millis = 900
"""Maximum age of a follower's newest reply that a leader with a lease has confirmed,
for the follower to count as current: seven heartbeats."""
MAX_APPEND_ENTRIES = 256
MAX_APPEND_BYTES = 1024 * 1024
"""Bytes of entries in one message. An entry with a large configuration has some 0.5 MB,
and a frame must hold several messages."""
CATCH_UP_DISTANCE = 32
"""Entries by which a learner may lag behind the leader's log and still be promoted."""
JOIN_INTERVAL: Millis = 300
"""Pause between requests to join; a new box should become a voter within seconds."""
LEAVE_GRACE_PERIOD: Millis = 2 * HEARTBEAT_INTERVAL
"""Time for which a stopping replica keeps replying after it has begun to announce its
stop to a leader."""


class Raft:
    """Consensus state of one replica.

    Args:
        identity: Name and disk incarnation of the replica.
        hard_state: Persisted term and vote.
        metadata: Position of the persisted snapshot and the membership at it.
        log: Persisted entries after the snapshot.
        now: Time since which the replica has certainly not answered any leader.
        seed: Seed of the election jitter.
        tolerated_losses: Number of boxes, with their disks, that the group has to
            survive losing at the same time.
    """

    def __init__(
        self,
        identity: str,
        *,
        hard_state: HardState,
        metadata: SnapshotMetadata,
        log: list[LogEntry],
        now: Millis,
        seed: int,
        tolerated_losses: int = 0,
    ) -> None:
        self.identity = identity
        self.term = hard_state.term
        self.vote = hard_state.vote
        self.log = RaftLog(metadata, log)
        self.role = Role.FOLLOWER
        self.leader = ""
        self.commit_index = metadata.index
        self.membership = metadata.membership
        self._election = Election(seed, now)
        self._bounds = VoterBounds(tolerated_losses)
        self._is_stopping = False
        self._stop_reported_at: Millis | None = None
        self._followers = Followers()
        self._liveness = Liveness()
        self._pending = Pending()
        self._applied = metadata.index
        self._snapshot_data: bytes = b""
        self._confirmed_at: Millis = -1
        self._next_heartbeat_at: Millis = 0
        self._elected_at: Millis = 0
        self._next_join_at: Millis = 0
        self._recompute_membership()
        self._election.put_off(now)
        if self.term == 0 and not log:
            self._election.bootstrap(now)

    def __repr__(self) -> str:
        return (
            f"Raft({self.identity} {self.role} term={self.term}"
            f" last={self.log.last_index} commit={self.commit_index})"
        )

    # State

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts for quorums."""
        return self.identity in self.membership.voters

    @property
    def leads(self) -> bool:
        """Whether this replica considers itself the leader."""
        return self.role is Role.LEADER

    def health(self, now: Millis) -> GroupHealth | None:
        """Return which voters answer, or None while another replica leads."""
        if not self.leads and self._has_recent_leader(now):
            return None
        voters = self.membership.voters if self.is_voter else ()
        missing = tuple(
            MissingVoter(name, -1 if silent is None else silent)
            for name in voters
            if name != self.identity
            and (
                (silent := self._liveness.last_answer(name, now)) is None
                or silent > ANSWER_TIMEOUT
            )
        )
        return GroupHealth(self.leads, len(voters), missing)

    def holds_lease(self, now: Millis) -> bool:
        """Return whether no other leader can exist at this moment."""
        if self.role is not Role.LEADER:
            return False
        if self.log.term_at(self.commit_index) != self.term:
            return False
        return now < self._quorum_ack(now) + LEASE_DURATION

    def is_current(self, now: Millis) -> bool:
        """Return whether the applied state was current within `MAX_STALENESS`."""
        if self.role is Role.LEADER:
            return self.holds_lease(now)
        return self._confirmed_at >= 0 and now - self._confirmed_at < MAX_STALENESS

    # Events

    def tick(self, now: Millis) -> None:
        """Perform due work: elections, heartbeats, joining, the check for a quorum."""
        if self.role is Role.LEADER:
            self._tick_leader(now)
        elif self._is_stopping:
            return
        elif not self.is_voter:
            # A learner that was removed while it was unreachable does not know that,
            # so it asks to join again if it has no leader.
            member = self.identity in self.membership.everyone
            if not member or not self._has_recent_leader(now):
                self._request_join(now)
        elif self._election.is_due(now):
            self._election.schedule_retry(now)
            self._start_pre_vote(now)

    def leave(self, now: Millis) -> None:
        """Announce in all further replies that this replica is about to stop.

        The leader then does not have to wait until the voter times out: a voter that is
        not needed, or that a learner can replace, is removed within two heartbeats
        instead of 1.5 s. A leader steps down, so that the next one can remove it.
        """
        self._is_stopping = True
        self._election.cancel_pre_vote()
        if self.role is not Role.FOLLOWER:
            self._step_down(now)

    def can_stop(self, now: Millis) -> bool:
        """Return whether the stop was announced to a leader, or need not be."""
        if not self.is_voter:
            return True
        return (
            self._stop_reported_at is not None
            and now - self._stop_reported_at >= LEAVE_GRACE_PERIOD
        )

    def propose(self, now: Millis, kind: EntryKind, data: bytes) -> int | None:
        """Append an entry as leader.

        Returns:
            The entry's index, or None if this replica does not lead.
        """
        if self.role is not Role.LEADER:
            return None
        index = self.log.last_index + 1
        self._append([LogEntry(self.term, index, int(kind), data)])
        self._broadcast(now)
        return index

    def receive(self, now: Millis, message: RaftMessage) -> None:
        """Handle a message from a peer."""
        match message:
            case Join():
                self._on_join(now, message)
            case PreVote():
                self._on_pre_vote(now, message)
            case PreVoteReply():
                self._on_pre_vote_reply(now, message)
            case _:
                if message.term > self.term and not self._adopt_term(now, message):
                    return
                if message.term < self.term:
                    self._reject_stale(message)
                    return
                self._receive_in_term(now, message)

    def persisted(self, now: Millis, index: int) -> None:
        """Record, as leader, that the replica's own log is synced up to `index`."""
        if self.role is Role.LEADER and self.identity in self._followers:
            self._followers[self.identity].matched(min(index, self.log.last_index))
            self._advance_commit(now)

    def take_ready(self) -> Ready:
        """Return the work that has accumulated since the last call."""
        pending, self._pending = self._pending, Pending()
        append: tuple[LogEntry, ...] = ()
        if pending.append_from is not None:
            append = tuple(self.log.between(pending.append_from))
        commit = tuple(self.log.between(self._applied + 1, self.commit_index))
        self._applied = max(self._applied, self.commit_index)
        return Ready(
            snapshot=pending.snapshot,
            hard_state=HardState(self.term, self.vote) if pending.hard_state else None,
            append=append,
            send=tuple(pending.send),
            commit=commit,
            changes=tuple(pending.changes),
        )

    def compact(self, index: int, data: bytes) -> SnapshotMetadata:
        """Drop the log up to an applied index.

        Args:
            index: Applied index at which `data` was taken.
            data: Snapshot of the state machine.

        Returns:
            The metadata of the new snapshot.
        """
        if index > self._applied:
            raise InvariantError(
                f"cannot compact to {index}: only applied up to {self._applied}"
            )
        metadata = self.log.compact(index)
        self._snapshot_data = data
        return metadata

    def set_snapshot_data(self, data: bytes) -> None:
        """Provide the data of the persisted snapshot after a restart."""
        self._snapshot_data = data

    # Log

    def _append(self, entries: list[LogEntry]) -> None:
        self.log.entries.extend(entries)
        self._note_append(entries[0].index)
        if any(entry.kind == EntryKind.MEMBERSHIP for entry in entries):
            self._recompute_membership()

    def _truncate(self, index: int) -> None:
        if index <= self.commit_index:
            raise InvariantError(f"cannot truncate at committed index {index}")
        self.log.truncate(index)
        self._recompute_membership()

    def _note_append(self, index: int) -> None:
        first = self._pending.append_from
        self._pending.append_from = index if first is None else min(first, index)

    def _recompute_membership(self) -> None:
        membership = self.log.membership_at(self.log.last_index)
        # Keep the same object if nothing changed: `Replica` compares by identity.
        if membership != self.membership:
            self.membership = membership
            self._liveness.retain(membership.everyone)
        if self.role is Role.LEADER:
            self._sync_followers()

    # Elections

    def _set_term(self, term: int, vote: str) -> None:
        if (term, vote) != (self.term, self.vote):
            self.term = term
            self.vote = vote
            self._pending.hard_state = True

    def _step_down(self, now: Millis) -> None:
        if self.role is not Role.FOLLOWER:
            self.role = Role.FOLLOWER
            self._election.put_off(now)
        self.leader = ""
        self._election.clear_votes()

    def _has_recent_leader(self, now: Millis) -> bool:
        return self.leads or self._election.has_recent_leader(now)

    def _log_is_up_to_date(self, last_term: int, last_index: int) -> bool:
        mine = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= mine

    def _start_pre_vote(self, now: Millis) -> None:
        self.role = Role.FOLLOWER
        self.leader = ""
        self._election.start_pre_vote(self.identity)
        if self._election.has_pre_vote_quorum(self.membership):
            self._start_election(now)
            return
        for peer in self._other_voters():
            request = PreVote(
                self.identity, self.term + 1, self.log.last_index, self.log.last_term
            )
            self._send(peer, request)

    def _on_pre_vote(self, now: Millis, message: PreVote) -> None:
        if message.sender not in self.membership.everyone:
            # The sender was removed while it was unreachable; it has to join again.
            self._on_join(now, Join(message.sender))
        granted = (
            message.term > self.term
            and not self._has_recent_leader(now)
            and self._log_is_up_to_date(message.last_term, message.last_index)
        )
        reply = PreVoteReply(self.identity, message.term, granted)
        self._send(message.sender, reply)

    def _on_pre_vote_reply(self, now: Millis, message: PreVoteReply) -> None:
        self._liveness.answered(message.sender, now)
        expected = self.role is Role.FOLLOWER and message.term == self.term + 1
        if not (expected and message.granted and self._election.in_pre_vote):
            return
        self._election.add_pre_vote(message.sender)
        if self._election.has_pre_vote_quorum(self.membership):
            self._start_election(now)

    def _start_election(self, now: Millis) -> None:
        self.role = Role.CANDIDATE
        self._set_term(self.term + 1, self.identity)
        self._election.start_vote(self.identity)
        self._election.schedule_retry(now)
        if self._election.is_won(self.membership):
            self._become_leader(now)
            return
        for peer in self._other_voters():
            request = Vote(
                self.identity, self.term, self.log.last_index, self.log.last_term
            )
            self._send(peer, request)

    def _adopt_term(self, now: Millis, message: TermMessage) -> bool:
        """Enter a newer term, unless it is a vote request against a live leader."""
        if isinstance(message, Vote) and self._has_recent_leader(now):
            return False
        self._step_down(now)
        self._set_term(message.term, "")
        return True

    def _reject_stale(self, message: TermMessage) -> None:
        match message:
            case Vote():
                reply = VoteReply(self.identity, self.term, False)
                self._send(message.sender, reply)
            case Append() | Install():
                self._send(message.sender, self._reply(False, 0, message.sent, 0))
            case _:
                return

    def _receive_in_term(self, now: Millis, message: TermMessage) -> None:
        match message:
            case Vote():
                self._on_vote(now, message)
            case VoteReply():
                self._on_vote_reply(now, message)
            case Append():
                self._on_append(now, message)
            case AppendReply():
                self._on_append_reply(now, message)
            case Install():
                self._on_install(now, message)

    def _on_vote(self, now: Millis, message: Vote) -> None:
        granted = self.vote in ("", message.sender) and self._log_is_up_to_date(
            message.last_term, message.last_index
        )
        if granted:
            self._set_term(self.term, message.sender)
            self._election.put_off(now)
        self._send(message.sender, VoteReply(self.identity, self.term, granted))

    def _on_vote_reply(self, now: Millis, message: VoteReply) -> None:
        self._liveness.answered(message.sender, now)
        if self.role is not Role.CANDIDATE or not message.granted:
            return
        self._election.granted(message.sender)
        if self._election.is_won(self.membership):
            self._become_leader(now)

    def _become_leader(self, now: Millis) -> None:
        self.role = Role.LEADER
        self.leader = self.identity
        self._elected_at = now
        self._followers = Followers()
        self._sync_followers()
        self._liveness.became_leader(now)
        self.propose(now, EntryKind.NOOP, b"")

    # Leading

    def _sync_followers(self) -> None:
        self._followers.sync(self.membership.everyone, self.log.last_index + 1)

    def _others(self) -> list[str]:
        return [name for name in self.membership.everyone if name != self.identity]

    def _other_voters(self) -> list[str]:
        return [name for name in self.membership.voters if name != self.identity]

    def _tick_leader(self, now: Millis) -> None:
        since_quorum = now - max(self._quorum_ack(now), self._elected_at)
        if since_quorum >= 2 * ELECTION_TIMEOUT:
            self._step_down(now)
            return
        if now >= self._next_heartbeat_at:
            self._broadcast(now, heartbeat=True)
            self._change_members(now)

    def _quorum_ack(self, now: Millis) -> Millis:
        """Return the send time of the newest request that a quorum has answered."""
        voters = self.membership.voters
        return self._followers.quorum_ack(voters, self.identity, now)

    def _broadcast(self, now: Millis, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL
        for name, progress in self._followers.items():
            if name == self.identity:
                continue
            if heartbeat or not progress.awaits_answer(now):
                self._replicate(now, name, progress)

    def _replicate(self, now: Millis, name: str, progress: Progress) -> None:
        if progress.awaits_answer(now):
            self._send_append(now, name, progress, entries=())
            return
        if progress.next_index <= self.log.snapshot_metadata.index:
            self._send_install(now, name)
        else:
            first = progress.next_index
            entries = self.log.window(
                first, max_entries=MAX_APPEND_ENTRIES, max_bytes=MAX_APPEND_BYTES
            )
            self._send_append(now, name, progress, entries=tuple(entries))
            if not entries:
                return
        progress.sent(now)

    def _send_append(
        self,
        now: Millis,
        name: str,
        progress: Progress,
        *,
        entries: tuple[LogEntry, ...],
    ) -> None:
        prev = progress.next_index - 1
        if prev < self.log.snapshot_metadata.index:
            prev = self.log.snapshot_metadata.index
            entries = ()
        request = Append(
            sender=self.identity,
            term=self.term,
            prev_index=prev,
            prev_term=self.log.term_at(prev),
            entries=entries,
            commit=self.commit_index,
            sent=now,
            echo=progress.echo if self.holds_lease(now) else -1,
            silent=self._liveness.silences(self._others(), now),
        )
        self._send(name, request)

    def _send_install(self, now: Millis, name: str) -> None:
        request = Install(
            sender=self.identity,
            term=self.term,
            index=self.log.snapshot_metadata.index,
            index_term=self.log.snapshot_metadata.term,
            voters=self.log.snapshot_metadata.membership.voters,
            learners=self.log.snapshot_metadata.membership.learners,
            data=self._snapshot_data,
            sent=now,
        )
        self._send(name, request)

    def _on_append_reply(self, now: Millis, message: AppendReply) -> None:
        progress = self._followers.get(message.sender)
        if self.role is not Role.LEADER or progress is None:
            return
        progress.answered(message)
        self._liveness.answered(message.sender, now, stops=message.stops)
        if message.success:
            self._on_match(now, message, progress)
        else:
            progress.refused(message.match)
            self._replicate(now, message.sender, progress)

    def _on_match(self, now: Millis, message: AppendReply, progress: Progress) -> None:
        progress.matched(message.match)
        self._advance_commit(now)
        if progress.next_index <= self.log.last_index and not progress.in_flight:
            self._replicate(now, message.sender, progress)

    def _advance_commit(self, now: Millis) -> None:
        index = self._followers.quorum_match(self.membership.voters)
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index
            self._broadcast(now)
            if self.identity not in self.membership.voters:
                self._step_down(now)

    # Membership

    def _request_join(self, now: Millis) -> None:
        if now >= self._next_join_at:
            self._next_join_at = now + JOIN_INTERVAL
            self._send("", Join(self.identity))

    def _on_join(self, now: Millis, message: Join) -> None:
        if self.role is not Role.LEADER:
            if self.leader and not message.forwarded:
                # Forward it once only, as two followers may take each other for the
                # leader. A replica that wants to join repeats its request.
                self._send(self.leader, Join(message.sender, forwarded=True))
            return
        change = add_learner(self.membership, message.sender)
        if change is not None and self._membership_settled():
            # Start the timeout of the new learner.
            self._liveness.answered(message.sender, now)
            self._propose_change(now, change)

    def _membership_settled(self) -> bool:
        pending = self.log.between(self.commit_index + 1)
        in_term = self.log.term_at(self.commit_index) == self.term
        changing = any(entry.kind == EntryKind.MEMBERSHIP for entry in pending)
        return in_term and not changing

    def _change_members(self, now: Millis) -> None:
        """Propose one change towards a group of just the boxes that answer."""
        if not self._membership_settled():
            return
        change = next_change(
            self.membership,
            gone=self._gone_members(now),
            caught_up=[
                learner
                for learner in self.membership.learners
                if self._caught_up(learner)
            ],
            bounds=self._bounds,
        )
        if change is not None:
            self._propose_change(now, change)

    def _gone_members(self, now: Millis) -> list[str]:
        gone = self._liveness.gone(self.membership, now)
        return [name for name in gone if name != self.identity]

    def _propose_change(self, now: Millis, change: MembershipChange) -> None:
        self._pending.changes.append(change)
        self.propose(now, EntryKind.MEMBERSHIP, encode(change.membership))

    def _caught_up(self, name: str) -> bool:
        match = self._followers[name].match
        return match > 0 and match + CATCH_UP_DISTANCE >= self.log.last_index

    # Following

    def _reply(
        self, success: bool, match: int, sent: Millis, clock: Millis
    ) -> AppendReply:
        return AppendReply(
            self.identity, self.term, success, match, sent, clock, self._is_stopping
        )

    def _accept_leader(self, now: Millis, leader: str) -> None:
        if self.role is Role.LEADER:
            raise InvariantError(f"two leaders in term {self.term}")
        self.role = Role.FOLLOWER
        self.leader = leader
        if self._is_stopping and self._stop_reported_at is None:
            # Replies from here on carry the `stops` flag to this leader.
            self._stop_reported_at = now
        self._election.record_leader_contact(now)

    def _on_append(self, now: Millis, message: Append) -> None:
        self._accept_leader(now, message.sender)
        self._liveness.leader_reported(message.sender, message.silent, now)
        if message.prev_index < self.log.snapshot_metadata.index:
            self._on_append_before_snapshot(now, message)
            return
        if self.log.term_at(message.prev_index) != message.prev_term:
            match_hint = min(message.prev_index - 1, self.log.last_index)
            match_hint = max(match_hint, self.commit_index)
            self._send(
                message.sender, self._reply(False, match_hint, message.sent, now)
            )
            return
        self._store_entries(message.entries)
        match = message.prev_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        if message.echo >= 0 and self.commit_index >= message.commit:
            self._confirmed_at = max(self._confirmed_at, message.echo)
        self._send(message.sender, self._reply(True, match, message.sent, now))

    def _on_append_before_snapshot(self, now: Millis, message: Append) -> None:
        reply = self._reply(True, self.log.snapshot_metadata.index, message.sent, now)
        self._send(message.sender, reply)

    def _store_entries(self, entries: tuple[LogEntry, ...]) -> None:
        for position, entry in enumerate(entries):
            known = self.log.term_at(entry.index)
            if known == entry.term:
                continue
            if known >= 0:
                self._truncate(entry.index)
            self._append(list(entries[position:]))
            return

    def _on_install(self, now: Millis, message: Install) -> None:
        self._accept_leader(now, message.sender)
        if message.index > self.commit_index:
            membership = Membership(message.voters, message.learners)
            metadata = SnapshotMetadata(message.index, message.index_term, membership)
            self._restore(metadata, message.data)
        match = max(self.commit_index, message.index)
        self._send(message.sender, self._reply(True, match, message.sent, now))

    def _restore(self, metadata: SnapshotMetadata, data: bytes) -> None:
        self.log.restore(metadata)
        self.commit_index = metadata.index
        self._applied = metadata.index
        self._snapshot_data = data
        self._pending.snapshot = (metadata, data)
        self._pending.append_from = metadata.index + 1 if self.log.entries else None
        self._recompute_membership()

    def _send(self, to: str, message: RaftMessage) -> None:
        self._pending.send.append((to, message))
