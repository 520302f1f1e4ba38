"""Charges connections to the account of the process, and sheds those that it names."""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING, Protocol

from leadseam.clock import Clock, Millis, sleep
from leadseam.peers.account import Full, Granted, Holding, PeerAccount, Shortage, Stage
from leadseam.runtime.turns import Turns

if TYPE_CHECKING:
    from leadseam.peers.limits import PeerLimits
    from leadseam.runtime.metrics import Metrics

REPORT_INTERVAL: Millis = 1_000
"""Interval of the gauges, and the shortest one of the log line about shed peers."""

log = logging.getLogger(__name__)


class Sheddable(Protocol):
    """A connection that can be refused or closed when the account is full."""

    def shed(self, shortage: Shortage) -> None:
        """Free all that is held for the peer, and refuse or close the connection.

        Args:
            shortage: What is short. For want of connections it is closed at once.
        """


class PeerGuard:
    """The account of a process, with the connections that are charged to it.

    Args:
        limits: Limits of the account.
        clock: Source of time.
        metrics: Metrics to register the account's figures with.

    Attributes:
        turns: Turns of connections that have more bytes than are parsed at once.
    """

    def __init__(self, limits: PeerLimits, clock: Clock, metrics: Metrics) -> None:
        self._account = PeerAccount(
            max_bytes=limits.max_bytes, max_connections=limits.max_connections
        )
        self._clock = clock
        self.turns = Turns()
        self._conns: dict[Holding, Sheddable] = {}
        self._shed: Counter[str] = Counter()
        self._bytes = metrics.gauge(
            "peer_bytes", "Bytes charged to connections of peers, by their stage."
        )
        self._connections = metrics.gauge(
            "peer_connections", "Open connections of peers, by their stage."
        )
        self._shed_total = metrics.buffered_counter(
            "peers_shed_total",
            "Connections of peers that were refused or closed, by what was short and"
            " by their stage.",
            "reason",
        )
        limit = metrics.gauge("peer_bytes_limit", "Bytes that peers may use.")
        limit.set({}, limits.max_bytes)

    def __repr__(self) -> str:
        return f"PeerGuard({self._account!r})"

    def open(self, conn: Sheddable, address: str, price: int) -> Holding | None:
        """Charge a new connection; return None if it has to be closed."""
        now = self._clock.now()
        holding = Holding(address, now)
        found = self._account.open(holding, price, now)
        if isinstance(found, Full):
            self._count(found.shortage, holding)
            return None
        self._conns[holding] = conn
        self._shed_others(found, Shortage.CONNECTIONS)
        return holding

    def hand_over(self, holding: Holding, conn: Sheddable) -> None:
        """Let another object own the connection of a holding."""
        self._conns[holding] = conn

    def take(self, holding: Holding, size: int) -> bool:
        """Charge bytes; return False if the connection has to be refused or closed."""
        found = self._account.take(holding, size, self._clock.now())
        if isinstance(found, Full):
            self._count(found.shortage, holding)
            return False
        if found.shed:
            self._shed_others(found, Shortage.BYTES)
        return True

    def give_back(self, holding: Holding, size: int) -> None:
        """Return bytes that are no longer held."""
        self._account.give_back(holding, size)

    def set_stage(self, holding: Holding, stage: Stage) -> None:
        """Record what a connection's bytes are for from now on."""
        if holding.stage is not stage:
            self._account.set_stage(holding, stage, self._clock.now())

    def close(self, holding: Holding) -> None:
        """Return all that is held for a connection."""
        self._account.close(holding)
        self._conns.pop(holding, None)

    async def run(self) -> None:
        """Report the account until cancelled."""
        while True:
            await sleep(REPORT_INTERVAL)
            self.report()

    def report(self) -> None:
        """Set the gauges, and log which connections were shed since the last call."""
        for stage, (count, held) in self._account.usage().items():
            self._connections.set({"stage": stage.value}, count)
            self._bytes.set({"stage": stage.value}, held)
        if not self._shed:
            return
        address, connections, held = self._account.largest()
        extra = {
            "shed": dict(self._shed),
            "bytes": self._account.held,
            "limit": self._account.max_bytes,
            "connections": len(self._account),
            "largest_address": address,
            "largest_connections": connections,
            "largest_bytes": held,
        }
        self._shed.clear()
        log.warning("connections of peers refused or closed", extra=extra)

    def _shed_others(self, granted: Granted, shortage: Shortage) -> None:
        for victim in granted.shed:
            self._count(shortage, victim)
            conn = self._conns.get(victim)
            if conn is not None:
                conn.shed(shortage)

    def _count(self, shortage: Shortage, holding: Holding) -> None:
        reason = f"{shortage.value}_{holding.stage.value}"
        self._shed[reason] += 1
        self._shed_total.inc(reason)
