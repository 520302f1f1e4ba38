"""Dispatches an entry's waiting requests to the sidecars that grant slots."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, sleep
from leadseam.control.configuration import Configuration
from leadseam.entry.queue import QueueKey, WaitingQueue
from leadseam.entry.request import WaitingRequest
from leadseam.entry.sidecar_link import SidecarLink
from leadseam.fairness.merge import ServiceMerge
from leadseam.outcome import NotRun, Reason
from leadseam.runtime.tasks import spawn
from leadseam.runtime.timeouts import Timeouts
from leadseam.wire.messages import Hello

if TYPE_CHECKING:
    from leadseam.entry.request import CallerRequest
    from leadseam.runtime.metrics import EntryMetrics
    from leadseam.settings.models import EntryLimits
    from leadseam.wire.traffic import Traffic

REPORT_INTERVAL: Millis = 100
NO_UPSTREAM_RETRY_AFTER: Millis = 2_000


class Dispatcher:
    """Queues requests and hands them to sidecars as these grant slots.

    Args:
        node: Name of this process.
        incarnation: Incarnation of this process.
        clock: Source of time.
        limits: Limits on memory and flow control in this entry.
        metrics: Metrics of this entry.
        traffic: Counts the bytes sent and received on links to sidecars.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        clock: Clock,
        limits: EntryLimits,
        metrics: EntryMetrics,
        traffic: Traffic,
    ) -> None:
        self.queue = WaitingQueue(max_bytes=limits.waiting_bytes)
        self.metrics = metrics
        self.traffic = traffic
        self.window = limits.window_bytes
        self.timeouts = Timeouts(clock)
        self._node = node
        self._incarnation = incarnation
        self._clock = clock
        self._configuration = Configuration()
        self._merges: dict[str, ServiceMerge] = defaultdict(ServiceMerge)
        self._links: dict[str, SidecarLink] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._last_seq = 0
        self._last_attempt = 0

    def __repr__(self) -> str:
        return f"Dispatcher({self.queue!r}, sidecars={len(self._links)})"

    async def run(self) -> None:
        """Report service to sidecars and update gauges until cancelled."""
        while True:
            await sleep(REPORT_INTERVAL)
            for link in self._links.values():
                link.send_others_service()
            self._update_gauges()

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration, opening and closing links to sidecars."""
        self._configuration = configuration
        for name, link in list(self._links.items()):
            if configuration.upstreams.get(name) != link.upstream:
                self._update_link(name, configuration)
        for name, upstream in configuration.upstreams.items():
            if name not in self._links:
                link = SidecarLink(upstream, self)
                self._links[name] = link
                self._tasks[name] = spawn(link.run())

    @property
    def connected(self) -> bool:
        """Whether each sidecar has reported its status or failed to connect once."""
        return all(link.has_connected_or_failed for link in self._links.values())

    def submit(self, req: CallerRequest) -> WaitingRequest | NotRun:
        """Queue a request, or refuse it immediately."""
        if not any(link.usable for link in self._pool_links(req.pool)):
            return NotRun(Reason.NO_UPSTREAM, NO_UPSTREAM_RETRY_AFTER)
        self._last_seq += 1
        item = WaitingRequest(req, self._last_seq)
        account = self._configuration.accounts.get(req.account)
        max_waiting = account.max_waiting if account is not None else 1
        now = self._clock.now()
        refusal = self.queue.offer(item, max_waiting=max_waiting, now=now)
        if refusal is not None:
            return refusal
        self._mark_backlog_changed(req, urgent=True)
        return item

    def requeue(self, item: WaitingRequest) -> None:
        """Queue a request again for another attempt.

        If every usable upstream of its pool is to be avoided, it may use any of them.
        """
        if self._usable_upstreams(item.req.pool) <= item.avoid:
            item.avoid.clear()
        self.queue.enqueue(item)
        self._mark_backlog_changed(item.req, urgent=True)

    def withdraw(self, item: WaitingRequest) -> None:
        """Remove a request from the queue if it is still waiting."""
        if item.queued:
            self.queue.remove(item)
            self._mark_backlog_changed(item.req, urgent=False)

    def take(self, key: QueueKey, link: SidecarLink) -> WaitingRequest | None:
        """Remove and return the next request for a granted slot, or None."""
        item = self.queue.take(key, upstream=link.upstream.name, now=self.now())
        if item is not None:
            self._mark_backlog_changed(item.req, urgent=not self.queue.count(key))
        return item

    def next_attempt(self) -> int:
        """Return the number of a new attempt; numbers start at 1."""
        self._last_attempt += 1
        return self._last_attempt

    def hello(self) -> Hello:
        """Return the first message to send on a link."""
        return Hello(self._node, self._incarnation)

    def merge(self, pool: str) -> ServiceMerge:
        """Return the merged service counters of a pool."""
        return self._merges[pool]

    def now(self) -> Millis:
        """Return the current time."""
        return self._clock.now()

    def on_health_change(self) -> None:
        """Let requests that avoid every upstream still usable go to any of them."""
        for pool in {link.upstream.pool for link in self._links.values()}:
            self.queue.clear_avoided(pool, self._usable_upstreams(pool))

    def _update_gauges(self) -> None:
        self.metrics.waiting.set({}, len(self.queue))
        for name, link in self._links.items():
            self.metrics.usable.set({"upstream": name}, int(link.usable))

    def _usable_upstreams(self, pool: str) -> set[str]:
        return {link.upstream.name for link in self._pool_links(pool) if link.usable}

    def _pool_links(self, pool: str) -> list[SidecarLink]:
        return [link for link in self._links.values() if link.upstream.pool == pool]

    def _update_link(self, name: str, configuration: Configuration) -> None:
        link = self._links[name]
        row = configuration.upstreams.get(name)
        if row is not None and link.same_address(row):
            link.upstream = row
            return
        del self._links[name]
        self._tasks.pop(name).cancel()

    def _mark_backlog_changed(self, req: CallerRequest, *, urgent: bool) -> None:
        for link in self._pool_links(req.pool):
            link.mark_backlog_changed(req.account, urgent=urgent)
