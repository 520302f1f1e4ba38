"""Raft without I/O: the caller persists, sends and applies what `take_ready` gives.

Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014): pre-vote and
check-quorum (9.6, 6.2), leases (6.4.1), learners and one-at-a-time membership
changes (4.1 to 4.2.1), log compaction (5).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.control.election import ELECTION_TIMEOUT, Election
from leadseam.control.group_health import ANSWER_LIMIT, GroupHealth, MissingVoter
from leadseam.control.liveness import Liveness
from leadseam.control.membership import Bounds, Step, joined, next_step
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
LEASE: Millis = 440
"""How long no other leader can exist after a quorum has answered: below the least
election timeout by more than clocks drift apart in that time."""
CURRENT_LIMIT: Millis = 900
"""Age of a leader's word up to which a follower is current: seven heartbeats."""
MAX_APPEND_ENTRIES = 256
CATCH_UP_DISTANCE = 32
JOIN_INTERVAL: Millis = 300
"""Pause between requests to be taken in; a new box should count within seconds."""
LEAVE_PAUSE: Millis = 2 * HEARTBEAT_INTERVAL
"""Time for which a replica that stops goes on answering once a leader has been told."""


class Raft:
    """One replica's consensus state.

    Args:
        identity: Name and disk incarnation of the replica.
        hard_state: Persisted term and vote.
        mark: Persisted snapshot position and membership at it.
        log: Persisted entries after the mark.
        now: Time from which on the replica has certainly answered no leader.
        seed: Seed of the election jitter.
        tolerated_losses: Boxes, with their disks, that may be lost at the same time.
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
        self._bounds = Bounds(tolerated_losses)
        self._stops = False
        self._told_at: Millis | None = None
        self._followers = Followers()
        self._liveness = Liveness()
        self._pending = Pending()
        self._applied = metadata.index
        self._snapshot_data: bytes = b""
        self._current_at: Millis = -1
        self._heartbeat_at: Millis = 0
        self._elected_at: Millis = 0
        self._join_at: Millis = 0
        self._recompute_membership()
        self._election.put_off(now)
        if self.term == 0 and not log:
            self._election.found(now)

    def __repr__(self) -> str:
        return (
            f"Raft({self.identity} {self.role} term={self.term}"
            f" last={self.log.last_index} commit={self.commit_index})"
        )

    # Reading

    @property
    def is_voter(self) -> bool:
        """Whether this replica counts for quorums."""
        return self.identity in self.membership.voters

    @property
    def leads(self) -> bool:
        """Whether this replica takes itself for the leader."""
        return self.role is Role.LEADER

    def health(self, now: Millis) -> GroupHealth | None:
        """Return who of the group answers, or None while another replica leads."""
        if not self.leads and self._hears_leader(now):
            return None
        voters = self.membership.voters if self.is_voter else ()
        missing = tuple(
            MissingVoter(name, -1 if silent is None else silent)
            for name in voters
            if name != self.identity
            and (
                (silent := self._liveness.last_answer(name, now)) is None
                or silent > ANSWER_LIMIT
            )
        )
        return GroupHealth(self.leads, len(voters), missing)

    def holds_lease(self, now: Millis) -> bool:
        """Tell whether no other leader can exist at this moment."""
        if self.role is not Role.LEADER:
            return False
        if self.log.term_at(self.commit_index) != self.term:
            return False
        return now < self._quorum_ack(now) + LEASE

    def is_current(self, now: Millis) -> bool:
        """Tell whether the applied state was the fleet's within `CURRENT_LIMIT`."""
        if self.role is Role.LEADER:
            return self.holds_lease(now)
        return self._current_at >= 0 and now - self._current_at < CURRENT_LIMIT

    # Events

    def tick(self, now: Millis) -> None:
        """Let time pass: elections, heartbeats, loss of quorum."""
        if self.role is Role.LEADER:
            self._tick_leader(now)
        elif self._stops:
            return
        elif not self.is_voter:
            # A learner that was dropped while it was away has not been told.
            member = self.identity in self.membership.everyone
            if not member or not self._hears_leader(now):
                self._ask_to_join(now)
        elif self._election.is_due(now):
            self._election.try_again_soon(now)
            self._start_pre_vote(now)

    def leave(self, now: Millis) -> None:
        """Tell the group from now on that this replica is about to stop.

        A voter that says so need not be found silent first: where it is not needed, or
        a newcomer waits, it leaves the group within two heartbeats instead of 1.5 s. A
        leader steps down, so that another one can do that.
        """
        self._stops = True
        self._election.stop_asking()
        if self.role is not Role.FOLLOWER:
            self._step_down(now)

    def may_stop(self, now: Millis) -> bool:
        """Tell whether a leader knows that this replica stops, or need not know."""
        if not self.is_voter:
            return True
        return self._told_at is not None and now - self._told_at >= LEAVE_PAUSE

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
        """Handle a message of a peer."""
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
        """Tell a leader that its own log is synced up to `index`."""
        if self.role is Role.LEADER and self.identity in self._followers:
            self._followers[self.identity].matched(min(index, self.log.last_index))
            self._advance_commit(now)

    def take_ready(self) -> Ready:
        """Return the work since the last call."""
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
            steps=tuple(pending.steps),
        )

    def compact(self, index: int, data: bytes) -> SnapshotMetadata:
        """Drop the log up to an applied index.

        Args:
            index: Applied index that `data` holds the state of.
            data: Snapshot of the state machine.

        Returns:
            The new mark.
        """
        if index > self._applied:
            raise InvariantError(f"compact to {index}, applied {self._applied}")
        metadata = self.log.compact(index)
        self._snapshot_data = data
        return metadata

    def set_snapshot_data(self, data: bytes) -> None:
        """Provide the data of the mark after a restart."""
        self._snapshot_data = data

    # Log

    def _append(self, entries: list[LogEntry]) -> None:
        self.log.entries.extend(entries)
        self._note_append(entries[0].index)
        if any(entry.kind == EntryKind.MEMBERSHIP for entry in entries):
            self._recompute_membership()

    def _truncate(self, index: int) -> None:
        if index <= self.commit_index:
            raise InvariantError(f"conflict at committed index {index}")
        self.log.truncate(index)
        self._recompute_membership()

    def _note_append(self, index: int) -> None:
        first = self._pending.append_from
        self._pending.append_from = index if first is None else min(first, index)

    def _recompute_membership(self) -> None:
        membership = self.log.membership_at(self.log.last_index)
        # An equal one stays the same object, by which a replica sees a change cheaply.
        if membership != self.membership:
            self.membership = membership
            self._liveness.forget_others(membership.everyone)
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
        self._election.give_up()

    def _hears_leader(self, now: Millis) -> bool:
        return self.leads or self._election.hears_leader(now)

    def _log_is_newer(self, last_term: int, last_index: int) -> bool:
        mine = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= mine

    def _start_pre_vote(self, now: Millis) -> None:
        self.role = Role.FOLLOWER
        self.leader = ""
        self._election.ask_first(self.identity)
        if self._election.may_stand(self.membership):
            self._start_election(now)
            return
        for peer in self._other_voters():
            request = PreVote(
                self.identity, self.term + 1, self.log.last_index, self.log.last_term
            )
            self._send(peer, request)

    def _on_pre_vote(self, now: Millis, message: PreVote) -> None:
        if message.sender not in self.membership.everyone:
            # A voter that was replaced while it was away; it has to join again.
            self._on_join(now, Join(message.sender))
        granted = (
            message.term > self.term
            and not self._hears_leader(now)
            and self._log_is_newer(message.last_term, message.last_index)
        )
        reply = PreVoteReply(self.identity, message.term, granted)
        self._send(message.sender, reply)

    def _on_pre_vote_reply(self, now: Millis, message: PreVoteReply) -> None:
        self._liveness.answered(message.sender, now)
        expected = self.role is Role.FOLLOWER and message.term == self.term + 1
        if not (expected and message.granted and self._election.asks):
            return
        self._election.granted_first(message.sender)
        if self._election.may_stand(self.membership):
            self._start_election(now)

    def _start_election(self, now: Millis) -> None:
        self.role = Role.CANDIDATE
        self._set_term(self.term + 1, self.identity)
        self._election.stand(self.identity)
        self._election.try_again_soon(now)
        if self._election.is_won(self.membership):
            self._become_leader(now)
            return
        for peer in self._other_voters():
            request = Vote(
                self.identity, self.term, self.log.last_index, self.log.last_term
            )
            self._send(peer, request)

    def _adopt_term(self, now: Millis, message: TermMessage) -> bool:
        """Enter a newer term, unless it is a vote against a leader that is heard."""
        if isinstance(message, Vote) and self._hears_leader(now):
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
        granted = self.vote in ("", message.sender) and self._log_is_newer(
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
        self._liveness.elected(now)
        self.propose(now, EntryKind.NOOP, b"")

    # Leading

    def _sync_followers(self) -> None:
        self._followers.sync(self.membership.everyone, self.log.last_index + 1)

    def _others(self) -> list[str]:
        return [name for name in self.membership.everyone if name != self.identity]

    def _other_voters(self) -> list[str]:
        return [name for name in self.membership.voters if name != self.identity]

    def _tick_leader(self, now: Millis) -> None:
        lost = now - max(self._quorum_ack(now), self._elected_at)
        if lost >= 2 * ELECTION_TIMEOUT:
            self._step_down(now)
            return
        if now >= self._heartbeat_at:
            self._broadcast(now, heartbeat=True)
            self._change_members(now)

    def _quorum_ack(self, now: Millis) -> Millis:
        """Return the send time of the newest request that a quorum answered."""
        voters = self.membership.voters
        return self._followers.quorum_ack(voters, self.identity, now)

    def _broadcast(self, now: Millis, *, heartbeat: bool = False) -> None:
        if heartbeat:
            self._heartbeat_at = now + HEARTBEAT_INTERVAL
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
            entries = self.log.between(first, first + MAX_APPEND_ENTRIES - 1)
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

    def _ask_to_join(self, now: Millis) -> None:
        if now >= self._join_at:
            self._join_at = now + JOIN_INTERVAL
            self._send("", Join(self.identity))

    def _on_join(self, now: Millis, message: Join) -> None:
        if self.role is not Role.LEADER:
            if self.leader and not message.forwarded:
                # Passed on once: followers may take each other for the leader. Who
                # wants to join asks again.
                self._send(self.leader, Join(message.sender, forwarded=True))
            return
        step = joined(self.membership, message.sender)
        if step is not None and self._membership_settled():
            # Its silence as a learner counts from here on.
            self._liveness.answered(message.sender, now)
            self._take_step(now, step)

    def _membership_settled(self) -> bool:
        pending = self.log.between(self.commit_index + 1)
        in_term = self.log.term_at(self.commit_index) == self.term
        changing = any(entry.kind == EntryKind.MEMBERSHIP for entry in pending)
        return in_term and not changing

    def _change_members(self, now: Millis) -> None:
        """Propose one step towards a group of all boxes that answer, and no others."""
        if not self._membership_settled():
            return
        step = next_step(
            self.membership,
            gone=self._gone(now),
            caught_up=[one for one in self.membership.learners if self._caught_up(one)],
            bounds=self._bounds,
        )
        if step is not None:
            self._take_step(now, step)

    def _gone(self, now: Millis) -> list[str]:
        gone = self._liveness.gone(self.membership, now)
        return [name for name in gone if name != self.identity]

    def _take_step(self, now: Millis, step: Step) -> None:
        self._pending.steps.append(step)
        self.propose(now, EntryKind.MEMBERSHIP, encode(step.membership))

    def _caught_up(self, name: str) -> bool:
        match = self._followers[name].match
        return match > 0 and match + CATCH_UP_DISTANCE >= self.log.last_index

    # Following

    def _reply(
        self, success: bool, match: int, sent: Millis, clock: Millis
    ) -> AppendReply:
        return AppendReply(
            self.identity, self.term, success, match, sent, clock, self._stops
        )

    def _follow(self, now: Millis, leader: str) -> None:
        if self.role is Role.LEADER:
            raise InvariantError(f"two leaders in term {self.term}")
        self.role = Role.FOLLOWER
        self.leader = leader
        if self._stops and self._told_at is None:
            # What is answered from here on says so.
            self._told_at = now
        self._election.hear_leader(now)

    def _on_append(self, now: Millis, message: Append) -> None:
        self._follow(now, message.sender)
        self._liveness.told(message.sender, message.silent, now)
        if message.prev_index < self.log.snapshot_metadata.index:
            self._on_append_before_mark(now, message)
            return
        if self.log.term_at(message.prev_index) != message.prev_term:
            hint = min(message.prev_index - 1, self.log.last_index)
            hint = max(hint, self.commit_index)
            self._send(message.sender, self._reply(False, hint, message.sent, now))
            return
        self._store_entries(message.entries)
        match = message.prev_index + len(message.entries)
        self.commit_index = max(self.commit_index, min(message.commit, match))
        if message.echo >= 0 and self.commit_index >= message.commit:
            self._current_at = max(self._current_at, message.echo)
        self._send(message.sender, self._reply(True, match, message.sent, now))

    def _on_append_before_mark(self, now: Millis, message: Append) -> None:
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
        self._follow(now, message.sender)
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
