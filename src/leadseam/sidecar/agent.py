"""The sidecar's agent: serves links of entries, grants slots and runs attempts."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep
from leadseam.control.configuration import Configuration, PoolKind
from leadseam.fairness.ledger import Ledger
from leadseam.fairness.picker import Picker
from leadseam.fairness.service import normalise
from leadseam.outcome import Reason, RefusalReason
from leadseam.runtime.tasks import spawn
from leadseam.runtime.timeouts import Timeouts
from leadseam.sidecar.attempts import AttemptKey, AttemptState, AttemptTable
from leadseam.sidecar.breaker import Breaker, Health
from leadseam.sidecar.running_attempt import EntryPeer, RunningAttempt, final_message
from leadseam.sidecar.scheduler import Scheduler
from leadseam.sidecar.semaphore import ResizableSemaphore
from leadseam.sidecar.upstream import UpstreamAddress, UpstreamClient, Window
from leadseam.wire.dispatch import (
    Accepted,
    Backlog,
    Cancel,
    Chunk,
    Credit,
    Decline,
    Dispatch,
    Final,
    Grant,
    Head,
    Leaving,
    OthersService,
    Query,
    QueryReply,
    Refused,
    Service,
    SlotStatus,
)
from leadseam.wire.messages import Hello

if TYPE_CHECKING:
    from leadseam.runtime.metrics import SidecarMetrics
    from leadseam.sidecar.scheduler import Lease
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage

SERVICE_INTERVAL: Millis = 100
PROBE_INTERVAL: Millis = 500
EXPIRY_INTERVAL: Millis = 100

log = logging.getLogger(__name__)


class Agent:
    """Grants the slots of one upstream and runs the attempts on it.

    Args:
        node: Name of this process.
        incarnation: Incarnation of this process.
        upstream_name: Name of the upstream in the configuration.
        clock: Source of time.
        metrics: Metrics of this sidecar.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        upstream_name: str,
        clock: Clock,
        metrics: SidecarMetrics,
    ) -> None:
        self.leaving = False
        self.breaker = Breaker()
        self._node = node
        self._incarnation = incarnation
        self._upstream_name = upstream_name
        self._clock = clock
        self._metrics = metrics
        self._configuration = Configuration()
        self._upstream: UpstreamClient | None = None
        self._timeouts = Timeouts(clock)
        self._ledger = Ledger()
        self._scheduler = Scheduler(self._ledger, Picker(self._ledger), self._share_of)
        self._slot_semaphore = ResizableSemaphore()
        self._attempts = AttemptTable()
        self._peers: dict[str, EntryPeer] = {}
        self._last_slot_status: SlotStatus | None = None
        self._idle = asyncio.Event()
        self._idle.set()

    def __repr__(self) -> str:
        return f"Agent({self._upstream_name}, {self._scheduler!r})"

    @property
    def scheduler(self) -> Scheduler:
        """The scheduler of the slots; callers must not modify it."""
        return self._scheduler

    @property
    def ready(self) -> bool:
        """Whether the upstream has been configured."""
        return self._upstream is not None

    # Lifecycle

    async def run(self) -> None:
        """Serve until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._report_service())
            group.create_task(self._expire_leases())
            group.create_task(self._probe())

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        self._configuration = configuration
        row = configuration.upstreams.get(self._upstream_name)
        if row is None:
            self._update_slots()
            return
        kind = configuration.pools[row.pool].kind
        address = UpstreamAddress(row.ip, row.port, kind is PoolKind.ENGINE)
        if self._upstream is None or self._upstream.address != address:
            old = self._upstream
            self._upstream = UpstreamClient(address, self._clock, self._timeouts)
            if old is not None:
                spawn(self._retire(old))
        self._update_slots()

    def resumed(self) -> None:
        """Check timeouts after the box was suspended."""
        self._timeouts.rearm()

    def leave(self, reason: str) -> None:
        """Stop taking new work for the rest of this incarnation, and notify entries."""
        if self.leaving:
            return
        self.leaving = True
        log.info("leaving", extra={"reason": reason})
        self._update_slots()
        for peer in self._peers.values():
            peer.link.send(Leaving())

    async def wait_idle(self) -> None:
        """Wait until no attempt runs and no grant is outstanding."""
        while not self._scheduler.is_idle():
            self._idle.clear()
            await self._idle.wait()

    async def close(self) -> None:
        """Send the messages queued for entries, then close all connections."""
        links = [peer.link for peer in self._peers.values()]
        await asyncio.gather(*(link.close() for link in links))
        if self._upstream is not None:
            await self._upstream.close()

    # Links

    async def serve(self, link: Link) -> None:
        """Handle the link of one entry until it closes."""
        messages = link.messages()
        hello = await anext(messages, None)
        if not isinstance(hello, Hello):
            return
        peer = EntryPeer(hello, link)
        self._connect(peer)
        try:
            async for message in messages:
                self._handle(peer, message)
                self._grant()
        finally:
            self._disconnect(peer)

    def _connect(self, peer: EntryPeer) -> None:
        old = self._peers.get(peer.hello.node)
        if old is not None:
            old.link.abort()
            self._disconnect(old)
        self._peers[peer.hello.node] = peer
        peer.link.send(Hello(self._node, self._incarnation))
        peer.link.send(Service(self._ledger.all_rows()))
        peer.link.send(self._slot_status())
        if self.leaving:
            peer.link.send(Leaving())

    def _disconnect(self, peer: EntryPeer) -> None:
        if self._peers.get(peer.hello.node) is not peer:
            return
        del self._peers[peer.hello.node]
        self._scheduler.drop_entry(peer.hello.node)
        for running in peer.running.values():
            self._abandon(running)
        self._grant()

    def _handle(self, peer: EntryPeer, message: AnyMessage) -> None:
        self._scheduler.mark_responsive(peer.hello.node)
        match message:
            case Backlog(rows=rows):
                for row in rows:
                    now = self._clock.now()
                    self._scheduler.set_backlog(peer.hello.node, row, now)
            case OthersService(rows=rows):
                self._ledger.merge_others(rows)
            case Dispatch():
                self._dispatch(peer, message)
            case Decline(grant=grant):
                self._metrics.grants.inc({"ending": "declined"})
                self._scheduler.decline(peer.hello.node, grant)
            case Credit(attempt=attempt, size=size):
                if (running := peer.running.get(attempt)) is not None:
                    running.window.add_credit(size)
            case Cancel(attempt=attempt):
                if (running := peer.running.get(attempt)) is not None:
                    self._abandon(running)
            case Query(attempt=attempt):
                started = self._attempts.has_started(self._attempt_key(peer, attempt))
                peer.link.send(QueryReply(attempt, started))
            case _:
                return

    # Attempts

    def _dispatch(self, peer: EntryPeer, req: Dispatch) -> None:
        lease = self._scheduler.start(peer.hello.node, req.grant, req.account)
        key = self._attempt_key(peer, req.attempt)
        refusal = self._refusal(lease, key)
        if refusal is not None:
            self._refuse(peer, req, key, refusal)
            if lease is not None:
                self._ledger.reserve(req.account, -lease.reserved)
                self._scheduler.finish(req.account, None)
            return
        assert lease is not None
        self._metrics.grants.inc({"ending": "used"})
        peer.link.send(Accepted(req.attempt))
        running = RunningAttempt(lease, req, Window(req.window))
        peer.running[req.attempt] = running
        running.task = spawn(self._run(peer, running))
        # A `finally` in the coroutine would not run if the task is cancelled before its
        # first step.
        running.task.add_done_callback(
            lambda task: self._end_attempt(
                peer, running, key, final_message(running, task)
            )
        )

    def _refusal(self, lease: Lease | None, key: AttemptKey) -> RefusalReason | None:
        if self._upstream is None:
            return RefusalReason.UPSTREAM_UNREACHABLE
        if lease is None:
            return RefusalReason.GRANT_EXPIRED
        match self._attempts.start(key):
            case None:
                return None
            case AttemptState.NEVER:
                return RefusalReason.TOMBSTONE
            case _:
                return RefusalReason.DUPLICATE

    def _refuse(
        self, peer: EntryPeer, req: Dispatch, key: AttemptKey, reason: RefusalReason
    ) -> None:
        self._attempts.refuse(key)
        self._metrics.refusals.inc({"reason": reason.value})
        if reason is not RefusalReason.DUPLICATE:
            peer.link.send(Refused(req.attempt, reason.value))

    async def _run(self, peer: EntryPeer, running: RunningAttempt) -> Final:
        assert self._upstream is not None

        def send(message: Head | Chunk) -> None:
            peer.link.send(message)

        def charge(service: int) -> None:
            self._charge(running, service)

        async with self._slot_semaphore:
            running.may_have_started = True
            return await self._upstream.run(
                running.req, window=running.window, send=send, charge=charge
            )

    def _end_attempt(
        self,
        peer: EntryPeer,
        running: RunningAttempt,
        key: AttemptKey,
        final: Final | None,
    ) -> None:
        """Free the slot and notify the entry, however the attempt ended."""
        peer.running.pop(running.req.attempt, None)
        self._attempts.end(key)
        self._release(running, running.lease.reserved)
        self._scheduler.finish(running.req.account, running.service)
        ending = "cancelled" if final is None else final.error or "whole"
        self._metrics.attempts.inc({"ending": ending})
        if final is not None:
            peer.link.send(final)
            self._record_health(final)
        self._grant()
        if self._scheduler.is_idle():
            self._idle.set()

    def _charge(self, running: RunningAttempt, service: int) -> None:
        """Charge measured service, and release as much of the reservation."""
        running.service += service
        account = running.req.account
        self._metrics.service.add({"account": account}, max(service, 0))
        amount = normalise(service, self._share_of(account))
        self._ledger.charge(account, max(amount, 0))
        self._release(running, running.released + amount)

    def _release(self, running: RunningAttempt, target: int) -> None:
        target = max(min(target, running.lease.reserved), running.released)
        self._ledger.reserve(running.req.account, running.released - target)
        running.released = target

    def _abandon(self, running: RunningAttempt) -> None:
        """Cancel an attempt whose answer isn't needed any more.

        One that must not be repeated runs to its end, without flow control.
        """
        if not running.req.repeatable:
            running.window.remove_limit()
        elif running.task is not None:
            running.task.cancel()

    def _record_health(self, final: Final) -> None:
        match final.error:
            case "":
                self.breaker.request_succeeded()
            case Reason.UPSTREAM_BROKEN | Reason.UPSTREAM_UNREACHABLE:
                self.breaker.request_failed(self._clock.now())
            case _:
                return
        self._update_slots()

    # Slots

    def _grant(self) -> None:
        now = self._clock.now()
        for lease in self._scheduler.schedule(now):
            peer = self._peers[lease.entry]
            peer.link.send(Grant(lease.grant, lease.account))
        self._metrics.busy.set({}, self._scheduler.busy)

    def _update_slots(self) -> None:
        row = self._configuration.upstreams.get(self._upstream_name)
        slots = self.breaker.allowed_slots(row.slots) if row is not None else 0
        draining = row is None or row.draining
        self._scheduler.slots = slots
        self._slot_semaphore.resize(slots)
        self._scheduler.open = not (self.leaving or draining)
        slot_status = self._slot_status()
        if slot_status != self._last_slot_status:
            self._last_slot_status = slot_status
            for peer in self._peers.values():
                peer.link.send(slot_status)
        self._grant()

    def _slot_status(self) -> SlotStatus:
        healthy = self._scheduler.open and self._scheduler.slots > 0
        return SlotStatus(self._scheduler.slots, healthy)

    def _share_of(self, account: str) -> int:
        row = self._configuration.accounts.get(account)
        return row.share if row is not None else 1

    def _attempt_key(self, peer: EntryPeer, attempt: int) -> AttemptKey:
        return AttemptKey(peer.hello.node, peer.hello.incarnation, attempt)

    # Periodic work

    async def _report_service(self) -> None:
        while True:
            await sleep(SERVICE_INTERVAL)
            rows = self._ledger.take_changed()
            if rows:
                for peer in self._peers.values():
                    peer.link.send(Service(rows))

    async def _expire_leases(self) -> None:
        while True:
            await sleep(EXPIRY_INTERVAL)
            for _ in self._scheduler.expire(self._clock.now()):
                self._metrics.grants.inc({"ending": "expired"})
            self._grant()
            if self._scheduler.is_idle():
                self._idle.set()

    async def _probe(self) -> None:
        while True:
            if self._upstream is not None:
                await self._probe_once(self._upstream)
            await sleep(PROBE_INTERVAL)

    async def _probe_once(self, upstream: UpstreamClient) -> None:
        good = await upstream.probe()
        before = self.breaker.health
        if good:
            self.breaker.probe_succeeded(self._clock.now())
        else:
            self.breaker.probe_failed(self._clock.now())
        self._metrics.probes.inc({"result": "good" if good else "bad"})
        if self.breaker.health is not before:
            log.info("upstream health", extra={"health": self.breaker.health.value})
        if self.breaker.health is Health.OUT and not good:
            self._abort_hanging()
        self._update_slots()

    def _abort_hanging(self) -> None:
        """Cancel attempts that would wait forever for a hanging upstream.

        An attempt that must not be repeated is cancelled only if it has not reached the
        upstream.
        """
        for peer in self._peers.values():
            for running in peer.running.values():
                may_end = running.req.repeatable or not running.may_have_started
                if may_end and running.task is not None:
                    running.ended_as_hanging = True
                    running.task.cancel()

    async def _retire(self, upstream: UpstreamClient) -> None:
        await self.wait_idle()
        await upstream.close()
