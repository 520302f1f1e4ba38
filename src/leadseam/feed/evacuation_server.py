"""The replica's part in evacuating failure domains: takes orders, tells entries."""

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
"""Time for which operators may send an order again, where the settings give none."""

log = logging.getLogger(__name__)


class OrderStatus(Enum):
    """What became of an operator's order."""

    TAKEN = auto()
    """The domain is as ordered; that is committed."""
    TOO_MANY_DOMAINS = auto()
    """There is no room for one more failure domain."""
    MAY_BE_LATE = auto()
    """It may be a late copy of an order that was undone since."""
    OVERTAKEN = auto()
    """Another order came first; the caller may ask again."""
    NOT_COMMITTED = auto()
    """No quorum has confirmed it in time."""


class EvacuationServer:
    """Evacuations at one replica.

    Args:
        replica: Source of the committed table.
        clock: Source of time.
        metrics: Where the number of evacuated domains is shown.
        broadcast: Sends a message to all subscribers.
        resend_limit: Milliseconds for which operators may send an order again.
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
        """Return what is committed, as far as this replica knows."""
        return self._table.rows()

    def greeting(self) -> Evacuated | None:
        """Return what a new subscriber has to know, or None."""
        return self._message() if self._table.revision else None

    def on_applied(self) -> None:
        """Tell entries of a switch that was committed since the last call."""
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
        """Carry out an operator's order.

        Args:
            domain: Name of the failure domain.
            evacuated: Whether it is evacuated or taken back.
            submit: Has a command committed, within the time that callers wait.
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
