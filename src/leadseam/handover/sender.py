"""Hands connections of callers over to other entries, and passes responses back."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, seconds, sleep
from leadseam.handover.rows import RowSender
from leadseam.handover.targets import LOST_PAUSE
from leadseam.outcome import NotRun, Reason, Unknown
from leadseam.peers.account import Stage
from leadseam.runtime.sockets import reset_connection
from leadseam.runtime.tasks import spawn
from leadseam.wire.handover import ConnectionEvent, ConnectionRow, ConnectionRows
from leadseam.wire.link import LINK_ERRORS, dial

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.handover.targets import HandOver, HandOverTargets
    from leadseam.peers.account import Holding, Shortage
    from leadseam.runtime.metrics import Metrics
    from leadseam.runtime.peer_guard import PeerGuard
    from leadseam.wire.link import Link
    from leadseam.wire.traffic import Traffic

    EncodeOutcome = Callable[[NotRun | Unknown], bytes]

CHECK_INTERVAL: Millis = 50
"""Interval at which links are opened and closed."""
CREDIT_STEP = 16_384
"""Bytes of a response after which the other entry is told that they were passed on."""
DEADLINE_GRACE: Millis = 300
"""Time after a caller's deadline at which a response that has not begun is given up:
the entry that serves the request answers at the deadline itself."""
REJECTED_PAUSE: Millis = 150
"""Retry-After pause of a caller whose connection was not taken over."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class FirstRequest:
    """The first request of a connection, as far as it has arrived.

    Args:
        data: Its bytes.
        body_left: Bytes of its body that have not arrived.
        max_wait: Milliseconds that the caller waits, or None if it states none.
    """

    data: bytes
    body_left: int
    max_wait: Millis | None


class HandedConnection(asyncio.Protocol):
    """A caller's connection whose bytes are passed on to another entry.

    It carries one request. The other entry closes it with the response.

    Args:
        transport: Transport of the connection.
        guard: Account of the process.
        holding: Holding of the connection.
        peer: Link to the other entry.
        encode: Encodes the response to a request that the other entry does not answer.
        first: The request that is handed over.
    """

    def __init__(
        self,
        transport: asyncio.Transport,
        guard: PeerGuard,
        holding: Holding,
        peer: PeerLink,
        encode: EncodeOutcome,
        first: FirstRequest,
    ) -> None:
        self._transport = transport
        self._guard = guard
        self._holding = holding
        self._peer = peer
        self._encode = encode
        self._is_answered = False
        self._is_done = False
        self._passed_on = 0
        self._is_paused = False
        self._timer: asyncio.TimerHandle | None = None
        self._body_left = first.body_left
        guard.hand_over(holding, self)
        guard.set_stage(holding, Stage.RUNNING)
        self._number = peer.add(self)
        peer.send(ConnectionRow(self._number, first.data, ConnectionEvent.OPENED))
        if first.max_wait is not None:
            loop = asyncio.get_running_loop()
            delay = seconds(first.max_wait + DEADLINE_GRACE)
            self._timer = loop.call_later(delay, self._give_up)

    def data_received(self, data: bytes) -> None:
        """Pass on further bytes of the request; those behind it are ignored."""
        data = data[: self._body_left]
        self._body_left -= len(data)
        if data and not self._is_done:
            self._peer.send(ConnectionRow(self._number, data))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the other entry that the caller has left."""
        if not self._is_done:
            self._peer.send(ConnectionRow(self._number, event=ConnectionEvent.CLOSED))
        self._finish()
        self._guard.close(self._holding)

    def pause_writing(self) -> None:
        """Give the other entry no more credit: the caller reads slowly."""
        self._is_paused = True

    def resume_writing(self) -> None:
        """Give credit again."""
        self._is_paused = False
        self._give_credit()

    def shed(self, _: Shortage) -> None:
        """Close the connection, as others need what it holds."""
        self._transport.abort()

    def receive(self, row: ConnectionRow) -> None:
        """Process what the other entry tells of this connection."""
        if row.data:
            self._is_answered = True
            self._transport.write(row.data)
            self._passed_on += len(row.data)
            self._give_credit()
        match row.event:
            case ConnectionEvent.CLOSED:
                self._finish()
                self._transport.close()
            case ConnectionEvent.ABORTED:
                self._finish()
                self._transport.abort()
            case ConnectionEvent.RESET:
                self._finish()
                reset_connection(self._transport)
            case ConnectionEvent.REJECTED:
                self._peer.rejected()
                self._answer(NotRun(Reason.ENTRY_BUSY, REJECTED_PAUSE))

    def link_lost(self) -> None:
        """End the response: whether the request has run is not known."""
        self._answer(Unknown(Reason.LINK_LOST))

    def _give_up(self) -> None:
        if self._is_answered or self._is_done:
            return
        self._peer.send(ConnectionRow(self._number, event=ConnectionEvent.CLOSED))
        self._answer(Unknown(Reason.DEADLINE_PASSED))

    def _answer(self, outcome: NotRun | Unknown) -> None:
        self._finish()
        if self._is_answered:
            reset_connection(self._transport)
            return
        self._transport.write(self._encode(outcome))
        self._transport.close()

    def _give_credit(self) -> None:
        if self._is_paused or self._is_done or self._passed_on < CREDIT_STEP:
            return
        self._peer.send(ConnectionRow(self._number, credit=self._passed_on))
        self._passed_on = 0

    def _finish(self) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._peer.remove(self._number)
        if self._timer is not None:
            self._timer.cancel()


class PeerLink:
    """A link to another entry, and the connections that are handed over on it.

    Args:
        address: Address of the entry.
        link: The link.
        targets: Told of connections that begin and end.
        clock: Source of time.
    """

    def __init__(
        self, address: str, link: Link, targets: HandOverTargets, clock: Clock
    ) -> None:
        self._address = address
        self._link = link
        self._targets = targets
        self._clock = clock
        self._rows = RowSender(link)
        self._conns: dict[int, HandedConnection] = {}
        self._next_number = 0

    def __repr__(self) -> str:
        return f"PeerLink({self._address}, connections={len(self._conns)})"

    def add(self, conn: HandedConnection) -> int:
        """Add a connection and return its number."""
        self._next_number += 1
        self._conns[self._next_number] = conn
        self._targets.opened(self._address, self._clock.now())
        return self._next_number

    def remove(self, number: int) -> None:
        """Remove a connection that has ended."""
        if self._conns.pop(number, None) is not None:
            self._targets.closed(self._address)

    def send(self, row: ConnectionRow) -> None:
        """Send a row soon."""
        self._rows.add(row)

    def rejected(self) -> None:
        """Leave the entry alone for a moment."""
        self._targets.rejected(self._address, self._clock.now())

    def close(self) -> None:
        """Close the link, which is not used."""
        self._link.abort()

    async def receive(self) -> None:
        """Process messages until the link ends, then end its connections."""
        try:
            async for message in self._link.messages():
                if isinstance(message, ConnectionRows):
                    for row in message.rows:
                        # A connection may have ended here meanwhile.
                        if (conn := self._conns.get(row.number)) is not None:
                            conn.receive(row)
        finally:
            self._rows.stop()
            lost = list(self._conns.values())
            for conn in lost:
                conn.link_lost()
            if lost:
                extra = {"entry": self._address, "connections": len(lost)}
                log.warning("link to another entry lost", extra=extra)


class HandOverSender:
    """Keeps links to entries with room, and hands connections over to them.

    Args:
        targets: Chooses entries.
        guard: Account of the process.
        clock: Source of time.
        metrics: Metrics to register the gauge of handed connections with.
        encode: Encodes the response to a request that another entry does not answer.
    """

    def __init__(
        self,
        targets: HandOverTargets,
        *,
        guard: PeerGuard,
        clock: Clock,
        metrics: Metrics,
        encode: EncodeOutcome,
    ) -> None:
        self._targets = targets
        self._guard = guard
        self._clock = clock
        self._traffic: Traffic = metrics.traffic
        self._encode = encode
        self._links: dict[str, PeerLink] = {}
        self._handed = metrics.gauge(
            "connections_handed_over", "Connections that other entries serve now."
        )

    def __repr__(self) -> str:
        return f"HandOverSender(links={list(self._links)})"

    @property
    def handed(self) -> int:
        """Number of connections that are handed over now."""
        return self._targets.handed

    def hand_over(
        self,
        decision: HandOver,
        transport: asyncio.Transport,
        holding: Holding,
        first: FirstRequest,
    ) -> bool:
        """Hand a connection over with its first request.

        Returns:
            Whether it was handed over; nothing was sent if not.
        """
        peer = self._links.get(decision.target)
        size = len(first.data) + first.body_left
        if peer is None or not self._guard.take(holding, size):
            return False
        conn = HandedConnection(
            transport, self._guard, holding, peer, self._encode, first
        )
        transport.set_protocol(conn)
        return True

    async def run(self) -> None:
        """Open links that are wanted and close unused ones, until cancelled."""
        while True:
            await sleep(CHECK_INTERVAL)
            now = self._clock.now()
            self._handed.set({}, self.handed)
            for address in self._targets.links_to_open(now):
                spawn(self._keep(address))
            for address, peer in list(self._links.items()):
                if self._targets.is_idle(address, now):
                    peer.close()

    async def _keep(self, address: str) -> None:
        ip, _, port = address.rpartition(":")
        try:
            with contextlib.suppress(*LINK_ERRORS):
                async with dial(ip, int(port), self._traffic) as link:
                    await self._use(address, link)
        finally:
            self._targets.lost(address, self._clock.now())
        extra = {"entry": address, "pause_ms": LOST_PAUSE}
        log.info("link to another entry ended", extra=extra)

    async def _use(self, address: str, link: Link) -> None:
        peer = PeerLink(address, link, self._targets, self._clock)
        self._links[address] = peer
        self._targets.linked(address)
        log.info("link to another entry opened", extra={"entry": address})
        try:
            await peer.receive()
        finally:
            del self._links[address]
