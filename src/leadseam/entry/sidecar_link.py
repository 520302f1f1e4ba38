"""An entry's link to one sidecar: backlog, grants and attempts."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds, sleep
from leadseam.entry.queue import QueueKey
from leadseam.entry.request import Dispatched, LinkLost, NeverStarted, WaitingRequest
from leadseam.runtime.tasks import spawn
from leadseam.wire.backoff import Backoff
from leadseam.wire.dispatch import (
    Accepted,
    Backlog,
    BacklogRow,
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
from leadseam.wire.link import LINK_ERRORS, dial
from leadseam.wire.messages import Hello

if TYPE_CHECKING:
    from leadseam.control.configuration import Upstream
    from leadseam.entry.dispatcher import Dispatcher
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage

QUERY_TIMEOUT: Millis = 2_500
FALLING_FLUSH_DELAY: Millis = 50
MIN_FLUSH_INTERVAL: Millis = 2

_UNKNOWN = -1


class SidecarLink:
    """The connection to one sidecar, its state and the attempts sent over it.

    Args:
        upstream: Configuration of the sidecar's upstream.
        dispatcher: Holds the queue that grants are served from.
    """

    def __init__(self, upstream: Upstream, dispatcher: Dispatcher) -> None:
        self.upstream = upstream
        self.healthy = False
        self.leaving = False
        self.has_connected_or_failed = False
        self._dispatcher = dispatcher
        self._link: Link | None = None
        self._incarnation = 0
        self._backoff = Backoff()
        self._attempts: dict[int, tuple[WaitingRequest, bool]] = {}
        self._lost: dict[int, tuple[WaitingRequest, int]] = {}
        self._sent_counts: dict[str, int] = {}
        self._dirty: set[str] = set()
        self._flush_task: asyncio.Task[None] | None = None
        self._flush_due = asyncio.Event()
        self._flush_timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"SidecarLink({self.upstream.name}, healthy={self.healthy})"

    @property
    def usable(self) -> bool:
        """Whether the sidecar is connected, healthy and not leaving."""
        return self._link is not None and self.healthy and not self.leaving

    def same_address(self, row: Upstream) -> bool:
        """Return whether a new configuration has the same sidecar address and pool."""
        old = self.upstream
        return (old.sidecar_ip, old.sidecar_port, old.pool) == (
            row.sidecar_ip,
            row.sidecar_port,
            row.pool,
        )

    async def run(self) -> None:
        """Connect, and reconnect with backoff, until cancelled."""
        while True:
            with contextlib.suppress(*LINK_ERRORS):
                await self._connect()
            self.has_connected_or_failed = True
            await self._backoff.wait()

    def mark_backlog_changed(self, account: str, *, urgent: bool) -> None:
        """Schedule the sending of an account's changed backlog.

        An increase and a fall to zero are urgent: the first lets idle slots be granted,
        the second prevents grants that would be declined.
        """
        self._dirty.add(account)
        if urgent:
            self._flush_due.set()
        else:
            self._flush_later()

    def send_others_service(self) -> None:
        """Send the service that waiting accounts received from other sidecars."""
        if self._link is None:
            return
        keys = self._dispatcher.queue.keys(self.upstream.pool)
        accounts = [key.account for key in keys]
        merge = self._dispatcher.merge(self.upstream.pool)
        rows = merge.report(self.upstream.name, accounts)
        if rows:
            self._link.send(OthersService(rows))

    def credit(self, attempt: int, size: int) -> None:
        """Allow the sidecar to send further bytes of an attempt's response."""
        if self._link is not None:
            self._link.send(Credit(attempt, size))

    def cancel(self, attempt: int) -> None:
        """Cancel an attempt and ignore its further messages."""
        self._attempts.pop(attempt, None)
        self._lost.pop(attempt, None)
        if self._link is not None:
            self._link.send(Cancel(attempt))

    async def _connect(self) -> None:
        row = self.upstream
        async with dial(
            row.sidecar_ip, row.sidecar_port, self._dispatcher.traffic
        ) as link:
            link.send(self._dispatcher.hello())
            messages = link.messages()
            hello = await anext(messages, None)
            if not isinstance(hello, Hello):
                return
            self._open(link, hello)
            try:
                async for message in messages:
                    self._handle(message)
            finally:
                self._close(link)

    def _open(self, link: Link, hello: Hello) -> None:
        if hello.incarnation != self._incarnation:
            self.leaving = False
        self._backoff.reset()
        self._incarnation = hello.incarnation
        self._dispatcher.merge(self.upstream.pool).connect(
            self.upstream.name, hello.incarnation
        )
        self._link = link
        self._sent_counts = {}
        for key in self._dispatcher.queue.keys(self.upstream.pool):
            self._dirty.add(key.account)
        self._flush_due.set()
        self._flush_task = spawn(self._flush_loop(link))
        self._query_lost_attempts(link)

    def _close(self, link: Link) -> None:
        self._link = None
        self.healthy = False
        if self._flush_task is not None:
            self._flush_task.cancel()
        attempts, self._attempts = self._attempts, {}
        for attempt, (item, accepted) in attempts.items():
            self._on_attempt_lost(attempt, item, accepted)

    # Attempts whose link was lost

    def _on_attempt_lost(
        self, attempt: int, item: WaitingRequest, accepted: bool
    ) -> None:
        if accepted or item.req.repeatable:
            item.events.put_nowait(LinkLost())
            return
        self._lost[attempt] = (item, self._incarnation)
        spawn(self._expire_lost(attempt))

    def _query_lost_attempts(self, link: Link) -> None:
        for attempt, (_, incarnation) in list(self._lost.items()):
            if incarnation == self._incarnation:
                link.send(Query(attempt))
            else:
                self._resolve_lost(attempt, started=True)

    async def _expire_lost(self, attempt: int) -> None:
        await sleep(QUERY_TIMEOUT)
        self._resolve_lost(attempt, started=True)

    def _resolve_lost(self, attempt: int, *, started: bool) -> None:
        item, _ = self._lost.pop(attempt, (None, 0))
        if item is not None:
            item.events.put_nowait(LinkLost() if started else NeverStarted())

    # Messages

    def _handle(self, message: AnyMessage) -> None:
        match message:
            case Chunk() | Head():
                self._forward(message.attempt, message)
            case Accepted(attempt=attempt):
                self._accept(attempt, message)
            case Final() | Refused():
                self._forward(message.attempt, message)
                self._attempts.pop(message.attempt, None)
            case Grant():
                self._on_grant(message)
            case SlotStatus(healthy=healthy):
                self.healthy = healthy
                self.has_connected_or_failed = True
                self._dispatcher.on_health_change()
            case Service(rows=rows):
                merge = self._dispatcher.merge(self.upstream.pool)
                merge.update(self.upstream.name, rows)
            case Leaving():
                self.leaving = True
                self._dispatcher.on_health_change()
            case QueryReply(attempt=attempt, started=started):
                self._resolve_lost(attempt, started=started)
            case _:
                return

    def _accept(self, attempt: int, message: Accepted) -> None:
        if attempt in self._attempts:
            item, _ = self._attempts[attempt]
            self._attempts[attempt] = (item, True)
            item.events.put_nowait(message)

    def _forward(self, attempt: int, message: Chunk | Head | Final | Refused) -> None:
        if attempt in self._attempts:
            item, _ = self._attempts[attempt]
            item.events.put_nowait(message)

    def _on_grant(self, grant: Grant) -> None:
        assert self._link is not None
        key = QueueKey(self.upstream.pool, grant.account)
        item = self._dispatcher.take(key, self)
        if item is None:
            self._dispatcher.metrics.grants_declined.inc({})
            self._link.send(Decline(grant.grant))
            self._invalidate_sent_count(grant.account)
            return
        attempt = self._dispatcher.next_attempt()
        self._attempts[attempt] = (item, False)
        item.events.put_nowait(Dispatched(self, attempt))
        self._link.send(self._dispatch(attempt, grant.grant, item))
        self._invalidate_sent_count(grant.account)

    def _dispatch(self, attempt: int, grant: int, item: WaitingRequest) -> Dispatch:
        req = item.req
        return Dispatch(
            attempt=attempt,
            grant=grant,
            account=req.account,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            repeatable=req.repeatable,
            priority=int(req.priority),
            deadline=max(req.deadline - self._dispatcher.now(), 1),
            window=self._dispatcher.window,
        )

    # Backlog

    def _invalidate_sent_count(self, account: str) -> None:
        """Have an account's backlog sent even if its count equals the one sent last.

        The sidecar subtracts each used or declined grant from its copy of the count, so
        the two may differ.
        """
        self._sent_counts[account] = _UNKNOWN
        self._dirty.add(account)
        self._flush_later()

    def _flush_later(self) -> None:
        if self._flush_timer is None:
            loop = asyncio.get_running_loop()
            delay = seconds(FALLING_FLUSH_DELAY)
            self._flush_timer = loop.call_later(delay, self._flush_due.set)

    async def _flush_loop(self, link: Link) -> None:
        """Send changed backlog rows, urgent ones immediately and others delayed."""
        while True:
            await self._flush_due.wait()
            self._flush_due.clear()
            if self._flush_timer is not None:
                self._flush_timer.cancel()
                self._flush_timer = None
            self._flush(link)
            await sleep(MIN_FLUSH_INTERVAL)

    def _flush(self, link: Link) -> None:
        dirty, self._dirty = self._dirty, set()
        rows = [row for account in sorted(dirty) if (row := self._row(account))]
        if rows:
            # The sidecar needs the service given elsewhere to rank a new account, so it
            # is sent before the backlog.
            accounts = [row.account for row in rows if row.waiting]
            merge = self._dispatcher.merge(self.upstream.pool)
            unsent = merge.report_unsent(self.upstream.name, accounts)
            if unsent:
                link.send(OthersService(unsent))
            link.send(Backlog(tuple(rows)))

    def _row(self, account: str) -> BacklogRow | None:
        queue = self._dispatcher.queue
        key = QueueKey(self.upstream.pool, account)
        waiting = queue.count_allowed(key, self.upstream.name)
        if waiting == self._sent_counts.get(account, 0):
            return None
        self._sent_counts[account] = waiting
        age = self._dispatcher.now() - queue.oldest_arrival(key) if waiting else 0
        return BacklogRow(account, waiting, age)
