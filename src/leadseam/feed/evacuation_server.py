"""Evacuation of failure domains at a replica: executes orders and notifies entries."""

from __future__ import annotations

import logging
from enum import Enum, auto
from typing import TYPE_CHECKING

from leadseam.control.order_guard import OrderGuard
from leadseam.control.state import Evacuate, EvacuationResult
from leadseam.wire.feed import Evacuated

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from leadseam.clock import Clock, Millis
    from leadseam.control.evacuations import EvacuationRow, EvacuationTable
    from leadseam.control.replica import Replica
    from leadseam.control.state import Command, CommandResult
    from leadseam.runtime.metrics import ControlMetrics

RESEND_LIMIT: Millis = 5_000
"""Default of the time for which operators may resend an order."""

log = logging.getLogger(__name__)


class OrderStatus(Enum):
    """Outcome of an operator's order."""

    TAKEN = auto()
    """The domain is in the ordered state, and that is committed."""
    TOO_MANY_DOMAINS = auto()
    """The table of failure domains is full."""
    MAY_BE_LATE = auto()
    """The order may be a late copy of one that was reverted since."""
    OVERTAKEN = auto()
    """Another order was committed first; the caller may retry."""
    NOT_COMMITTED = auto()
    """No quorum has confirmed the order in time."""


class EvacuationServer:
    """Executes orders on failure domains, and notifies entries of evacuations.

    Args:
        replica: Source of the committed table.
        clock: Source of time.
        metrics: Metrics, for the number of evacuated domains.
        broadcast: Sends a message to all subscribers.
        resend_limit: Milliseconds for which operators may resend an order.
    """

    def __init__(
        self,
        replica: Replica,
        clock: Clock,
        metrics: ControlMetrics,
        broadcast: Callable[[Evacuated], None],
        *,
        resend_limit: Millis = RESEND_LIMIT,
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._broadcast = broadcast
        self._guard = OrderGuard(resend_limit)
        self._sent_revision = 0
        self.on_applied()

    def __repr__(self) -> str:
        return f"EvacuationServer({self._table!r})"

    @property
    def _table(self) -> EvacuationTable:
        return self._replica.state.evacuations

    def rows(self) -> tuple[EvacuationRow, ...]:
        """Return the committed rows that this replica has applied."""
        return self._table.rows()

    def greeting(self) -> Evacuated | None:
        """Return the message for a new subscriber, or None if there is none."""
        return self._message() if self._table.revision else None

    def on_applied(self) -> None:
        """Notify entries of switches that were committed since the last call."""
        table = self._table
        if table.revision <= self._sent_revision:
            return
        self._sent_revision = table.revision
        self._guard.record_applied(table.rows(), self._clock.now())
        self._metrics.evacuated_domains.set({}, len(table.evacuated))
        extra = {"revision": table.revision, "evacuated": table.evacuated}
        log.warning("evacuated failure domains changed", extra=extra)
        self._broadcast(self._message())

    async def order(
        self,
        domain: str,
        *,
        evacuated: bool,
        submit: Callable[[Command], Awaitable[CommandResult | None]],
    ) -> OrderStatus:
        """Execute an operator's order.

        Args:
            domain: Name of the failure domain.
            evacuated: Whether to evacuate it (True) or to restore it (False).
            submit: Commits a command; returns None if that fails within the time that
                callers wait.
        """
        self.on_applied()
        status = await self._execute(domain, evacuated, submit)
        extra = {
            "domain": domain,
            "evacuated": evacuated,
            "status": status.name.lower(),
            "revision": self._table.revision,
        }
        log.info("evacuation ordered", extra=extra)
        return status

    async def _execute(
        self,
        domain: str,
        evacuated: bool,
        submit: Callable[[Command], Awaitable[CommandResult | None]],
    ) -> OrderStatus:
        table = self._table
        if table.is_full_for(domain):
            return OrderStatus.TOO_MANY_DOMAINS
        if self._guard.may_be_late(table, domain, evacuated, self._clock.now()):
            return OrderStatus.MAY_BE_LATE
        expected = table.row(domain).switches
        result = await submit(Evacuate(domain, evacuated, expected))
        if not isinstance(result, EvacuationResult):
            return OrderStatus.NOT_COMMITTED
        return OrderStatus.TAKEN if result.as_ordered else OrderStatus.OVERTAKEN

    def _message(self) -> Evacuated:
        return Evacuated(self._table.revision, self._table.evacuated)
