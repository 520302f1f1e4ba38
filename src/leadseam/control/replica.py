"""A control replica: drives the Raft core and owns the storage and state machine."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep
from leadseam.control.group_health import HealthReporter
from leadseam.control.peers import Peers
from leadseam.control.raft import Raft
from leadseam.control.raft_log import (
    EntryKind,
    HardState,
    Membership,
    SnapshotMetadata,
    box_name,
)
from leadseam.control.raft_types import Role
from leadseam.control.state import (
    Barrier,
    BarrierResult,
    Command,
    CommandResult,
    ControlState,
    stamp,
)
from leadseam.control.submissions import Submissions
from leadseam.errors import StorageError
from leadseam.runtime.tasks import spawn
from leadseam.wire.codec import decode, encode
from leadseam.wire.consensus import (
    Append,
    AppendReply,
    Forward,
    ForwardReply,
    Install,
    Join,
    LogEntry,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from leadseam.wire.messages import Hello

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.control.raft_types import RaftMessage, Ready
    from leadseam.control.storage import RecoveredState, Storage
    from leadseam.control.submissions import CommandFuture
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.settings.models import Endpoint
    from leadseam.wire.codec import EncodedMessage
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage
    from leadseam.wire.traffic import Traffic

TICK: Millis = 30
COMPACT_EVERY = 1_000
"""Applied entries after which the log is compacted, however small they are."""
MIN_COMPACT_BYTES = 4 * 1024 * 1024
COMPACT_RATIO = 4
"""Size of the applied log, as a multiple of the last snapshot, at which the log is
compacted, if it has `MIN_COMPACT_BYTES`. It bounds the memory of the log and what a
replica with an empty disk has to read."""
MAX_BATCH = 512
PROPOSE_TIMEOUT: Millis = 5_000
RETRY_DELAY: Millis = 100
LEAVE_TIMEOUT: Millis = 3_000
"""Maximum wait until a leader has received the announcement of a stop. If there is no
leader, this box may be needed to elect one: 1.3 s, and as much again for a second
attempt."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Received:
    message: RaftMessage


@dataclass(frozen=True, slots=True)
class _Proposed:
    command: Command
    fut: CommandFuture


@dataclass(frozen=True, slots=True)
class _Tick:
    pass


@dataclass(frozen=True, slots=True)
class _Leaving:
    pass


_Event = _Received | _Proposed | _Tick | _Leaving


class Replica:
    """One member of the control group.

    Args:
        name: Box name.
        identity: Replica identity: the box name and the incarnation of its disk.
        endpoints: Internal addresses of the initially known replicas, by box name.
        address_of: Returns the internal address of a box that joined later, or None.
        storage: The opened data folder.
        recovered: State that was recovered from the data folder.
        clock: Source of time.
        metrics: Metrics of the control service.
        traffic: Byte counters of the internal links.
        seed: Seed of the election jitter.
        tolerated_losses: Number of boxes, with their disks, that the group has to
            survive losing at the same time.
        failure_domain: Failure domain of this box, stated to the other replicas.
        silent_since: Time since which this box has certainly not answered any leader,
            such as the start of its process. Defaults to the current time.
    """

    def __init__(
        self,
        *,
        name: str,
        identity: str,
        endpoints: dict[str, Endpoint],
        storage: Storage,
        recovered: RecoveredState,
        clock: Clock,
        metrics: ControlMetrics,
        traffic: Traffic,
        seed: int,
        tolerated_losses: int,
        failure_domain: str = "",
        silent_since: Millis | None = None,
        address_of: Callable[[str], Endpoint | None] = lambda _: None,
    ) -> None:
        self.state = ControlState()
        self.state.restore(recovered.data)
        self.failure = ""
        self.applied_index = recovered.metadata.index
        self._clock = clock
        self._metrics = metrics
        self._health = HealthReporter(metrics)
        self._storage = storage
        self._raft = Raft(
            identity,
            hard_state=recovered.hard_state,
            metadata=recovered.metadata,
            log=recovered.log,
            now=clock.now() if silent_since is None else silent_since,
            seed=seed,
            tolerated_losses=tolerated_losses,
        )
        self._raft.set_snapshot_data(recovered.data)
        self._applied_bytes = 0
        self._snapshot_bytes = len(recovered.data)
        self._peers = Peers(
            name,
            endpoints,
            address_of,
            self._on_peer_message,
            traffic,
            failure_domain,
        )
        self._inbox: asyncio.Queue[_Event] = asyncio.Queue()
        self._submissions = Submissions()
        self._linked_members: set[str] | None = None
        self._membership = Membership(())
        self._role = Role.FOLLOWER
        self._applied_event: asyncio.Future[None] = asyncio.Future()

    def __repr__(self) -> str:
        return f"Replica({self._raft!r})"

    @property
    def raft(self) -> Raft:
        """The Raft core; callers must not modify it."""
        return self._raft

    @property
    def members(self) -> set[str]:
        """Names of the boxes in the group, learners included."""
        return {box_name(name) for name in self._raft.membership.everyone}

    @property
    def voters(self) -> int:
        """Number of voters in the membership that this replica has."""
        return len(self._raft.membership.voters)

    @property
    def leader_term(self) -> int | None:
        """Term in which this replica leads, or None if it does not."""
        return self._raft.term if self._raft.leads else None

    def is_current(self) -> bool:
        """Return whether the state of this replica is current enough to be served."""
        return not self.failure and self._raft.is_current(self._clock.now())

    def readiness(self) -> str:
        """Return why this replica must not serve its state, or an empty string."""
        if self.failure:
            return f"storage: {self.failure}"
        if not self.is_current():
            return "no quorum"
        return ""

    async def submit(self, command: Command) -> CommandResult | None:
        """Commit a command, directly or through the leader.

        Every command is safe to resend, so failed attempts are retried here.

        Returns:
            Result of the command, or None if no quorum confirmed it in time. It may
            still be committed later.
        """
        deadline = self._clock.now() + PROPOSE_TIMEOUT
        while (remaining := deadline - self._clock.now()) > 0:
            result = await self._submit_once(
                command, min(remaining, PROPOSE_TIMEOUT // 2)
            )
            if result is not None:
                return result
            await sleep(RETRY_DELAY)
        return None

    async def catch_up(self) -> bool:
        """Wait until every change acknowledged before this call is applied here.

        Returns:
            False if no quorum confirmed the newest version.
        """
        result = await self.submit(Barrier())
        if not isinstance(result, BarrierResult):
            return False
        while self.state.configuration.version < result.version:
            await self.wait_for_apply()
        return True

    async def wait_for_apply(self) -> None:
        """Wait until further entries or a snapshot have been applied."""
        await asyncio.shield(self._applied_event)

    def receive(self, link: Link, message: AnyMessage) -> None:
        """Handle a message from a replica that opened the link."""
        match message:
            case Forward():
                spawn(self._run_forwarded(link, message))
            case Hello():
                pass
            case _:
                self._on_peer_message(message)

    def send(self, to: str, message: AnyMessage | EncodedMessage) -> bool:
        """Send to one other replica; return False if it is not connected."""
        return self._peers.send(to, message)

    def set_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Replace the boxes that are linked in addition to the group's members."""
        self._peers.set_endpoints(endpoints)
        self._linked_members = None

    async def run(self) -> None:
        """Run until cancelled, or until the storage fails and `failure` is set."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._tick())
            self._update_links()
            await self._loop()

    async def leave(self) -> None:
        """Announce to the group that this box is about to stop, and wait for a leader.

        The wait ends after `LEAVE_TIMEOUT` even if no leader received the announcement.
        """
        deadline = self._clock.now() + LEAVE_TIMEOUT
        self._inbox.put_nowait(_Leaving())
        while not self.failure and self._clock.now() < deadline:
            await sleep(TICK)
            if self._raft.can_stop(self._clock.now()):
                return

    def close(self) -> None:
        """Close the links to the other replicas, after `run` has ended."""
        self._submissions.drop_proposed()
        self._peers.close()

    # Commands

    async def _submit_once(
        self, command: Command, timeout: Millis
    ) -> CommandResult | None:
        if self.failure:
            return None
        fut: CommandFuture = asyncio.Future()
        if self._raft.role is Role.LEADER:
            self._inbox.put_nowait(_Proposed(command, fut))
        elif self._raft.leader:
            self._forward(command, fut)
        else:
            return None
        try:
            return await asyncio.wait_for(fut, timeout / 1_000)
        except TimeoutError:
            return None

    def _forward(self, command: Command, fut: CommandFuture) -> None:
        ticket = self._submissions.forwarded(fut)
        request = Forward(self._raft.identity, ticket, encode(command))
        self._peers.send(box_name(self._raft.leader), request)

    async def _run_forwarded(self, link: Link, message: Forward) -> None:
        result: CommandResult | None = None
        if self._raft.role is Role.LEADER:
            command: Command = decode(message.data, Command)  # type: ignore[arg-type]
            result = await self._submit_once(command, PROPOSE_TIMEOUT // 2)
        data = encode(result) if result is not None else b""
        link.send(ForwardReply(message.ticket, data))

    def _on_peer_message(self, message: AnyMessage) -> None:
        match message:
            case ForwardReply(ticket=ticket, data=data):
                self._submissions.replied(ticket, _decode_result(data))
            case (
                PreVote()
                | PreVoteReply()
                | Vote()
                | VoteReply()
                | Append()
                | AppendReply()
                | Install()
                | Join()
            ):
                self._inbox.put_nowait(_Received(message))
            case _:
                self._metrics.unexpected_messages.inc({})

    # The loop that owns the Raft core and the storage

    async def _tick(self) -> None:
        while True:
            await sleep(TICK)
            if self._inbox.qsize() < MAX_BATCH:
                self._inbox.put_nowait(_Tick())

    def _update_links(self) -> None:
        """Update the links to the current members, and log a changed membership."""
        membership = self._raft.membership
        if membership is not self._membership:
            self._membership = membership
            extra = {"voters": membership.voters, "learners": membership.learners}
            log.info("membership changed", extra=extra)
        wanted = self.members
        if self._raft.leader:
            # A new box receives the membership only after it has answered the leader.
            wanted = wanted | {box_name(self._raft.leader)}
        if self._linked_members != wanted:
            self._linked_members = wanted
            self._peers.set_members(wanted)

    async def _loop(self) -> None:
        while not self.failure:
            for event in await self._take_batch():
                self._handle(event)
            self._update_links()
            ready = self._raft.take_ready()
            _log_changes(ready)
            try:
                await self._persist(ready)
            except StorageError as exc:
                self._stop_on_failure(exc)
                return
            self._send(ready)
            self._apply(ready.commit)
            self._raft.persisted(self._clock.now(), self._raft.log.last_index)
            follow_up = self._raft.take_ready()
            self._send(follow_up)
            self._apply(follow_up.commit)
            self._report_role_change()
            self._health.check(self._clock.now(), self._raft)
            await self._compact_if_due()

    async def _take_batch(self) -> list[_Event]:
        events = [await self._inbox.get()]
        while len(events) < MAX_BATCH and not self._inbox.empty():
            events.append(self._inbox.get_nowait())
        return events

    def _handle(self, event: _Event) -> None:
        now = self._clock.now()
        match event:
            case _Tick():
                self._raft.tick(now)
            case _Leaving():
                self._raft.leave(now)
            case _Received(message=message):
                self._raft.receive(now, message)
            case _Proposed(command=command, fut=fut):
                data = encode(stamp(command, self._clock.wall()))
                index = self._raft.propose(now, EntryKind.COMMAND, data)
                if index is not None:
                    self._submissions.proposed(index, self._raft.term, fut)
                elif not fut.done():
                    fut.set_result(None)

    async def _persist(self, ready: Ready) -> None:
        if ready.snapshot is not None:
            metadata, data = ready.snapshot
            await self._store_snapshot(metadata, data, ready)
            self.state.restore(data)
            self.applied_index = metadata.index
            self._notify_applied()
        elif ready.hard_state is not None or ready.append:
            write = self._storage.append
            await asyncio.to_thread(write, ready.hard_state, ready.append)

    async def _store_snapshot(
        self, metadata: SnapshotMetadata, data: bytes, ready: Ready
    ) -> None:
        state = HardState(self._raft.term, self._raft.vote)
        compact = self._storage.compact
        await asyncio.to_thread(compact, metadata, data, state, ready.append)

    def _send(self, ready: Ready) -> None:
        for to, message in ready.send:
            self._peers.send(box_name(to), message)

    def _apply(self, entries: tuple[LogEntry, ...]) -> None:
        for entry in entries:
            self._applied_bytes += len(entry.data)
            self.applied_index = entry.index
            result = None
            if entry.kind == EntryKind.COMMAND:
                command: Command = decode(entry.data, Command)  # type: ignore[arg-type]
                result = self.state.apply(command)
            self._submissions.applied(entry, result)
        if entries:
            self._notify_applied()

    def _notify_applied(self) -> None:
        done, self._applied_event = self._applied_event, asyncio.Future()
        done.set_result(None)

    def _report_role_change(self) -> None:
        if self._raft.role is self._role:
            return
        self._role = self._raft.role
        self._metrics.role_changes.inc({"role": self._role.value})
        extra = {
            "role": self._role.value,
            "term": self._raft.term,
            "leader": self._raft.leader,
            "voters": self._raft.membership.voters,
        }
        log.info("role changed", extra=extra)
        if self._role is not Role.LEADER:
            self._submissions.drop_proposed()

    async def _compact_if_due(self) -> None:
        count = self.applied_index - self._raft.log.snapshot_metadata.index
        limit = max(MIN_COMPACT_BYTES, COMPACT_RATIO * self._snapshot_bytes)
        if count < COMPACT_EVERY and (self._applied_bytes < limit or not count):
            return
        data = self.state.save()
        self._applied_bytes = 0
        self._snapshot_bytes = len(data)
        metadata = self._raft.compact(self.applied_index, data)
        state = HardState(self._raft.term, self._raft.vote)
        entries = tuple(self._raft.log.entries)
        try:
            await asyncio.to_thread(
                self._storage.compact, metadata, data, state, entries
            )
        except StorageError as exc:
            self._stop_on_failure(exc)

    def _stop_on_failure(self, exc: StorageError) -> None:
        self.failure = exc.message
        self._submissions.drop_proposed()
        extra = {"code": exc.code, "error": exc.message}
        log.error("storage failed; replica stopped", extra=extra)


def _log_changes(ready: Ready) -> None:
    for change in ready.changes:
        extra = {
            "member": change.member,
            "reason": change.reason,
            "voters": change.membership.voters,
            "learners": change.membership.learners,
        }
        log.info("membership change proposed", extra=extra)


def _decode_result(data: bytes) -> CommandResult | None:
    if not data:
        return None
    result: CommandResult = decode(data, CommandResult)  # type: ignore[arg-type]
    return result
