"""What a control replica does for operators and registering upstreams."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

from leadseam.clock import Clock, Millis, seconds, sleep
from leadseam.control.state import ChangeResult, Leave, LeaveResult, Replace
from leadseam.feed.evacuation_server import OrderStatus
from leadseam.incarnation import Incarnation
from leadseam.runtime.logs import LogLineLimiter

if TYPE_CHECKING:
    from leadseam.control.configuration import Configuration
    from leadseam.control.replica import Replica
    from leadseam.control.state import Command, CommandResult
    from leadseam.errors import DocumentError
    from leadseam.feed.server import FeedServer
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.feed import Registration

CALL_TIMEOUT: Millis = 900
"""Time for one call: callers turn to another replica after a second of silence."""
VOTER_WAIT_LIMIT: Millis = 2_500
"""How long after its start a replica waits for enough voters before it commits. The
group normally gathers within a second; a change should not wait for four."""
VOTER_POLL_INTERVAL: Millis = 20
UNKNOWN_POOL = "the configuration does not name its pool"
REFUSAL_LINES_PER_S = 5
"""Lines a second on registrations that name no upstream; a counter has them all."""
MAX_LOGGED_ID = 128
"""Characters of an id that is logged: as many as a valid one has."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Accepted:
    """It is committed and will not be lost."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """It cannot be accepted by any replica at any time."""

    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """Nobody can say what became of it; it may be sent again."""

    reason: str


Reply: TypeAlias = Accepted | Invalid | Unavailable


class ControlService:
    """Configuration and membership at one replica.

    Args:
        replica: The replica.
        feed: Where entries are told.
        clock: Source of time.
        metrics: Counters.
        min_voters: Voters wanted before the first commit, so that the tolerated
            losses right after it take no copy that counts.
    """

    def __init__(
        self,
        replica: Replica,
        feed: FeedServer,
        clock: Clock,
        metrics: ControlMetrics,
        *,
        min_voters: int,
    ) -> None:
        self._replica = replica
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._line_budget = LogLineLimiter(clock, rate=REFUSAL_LINES_PER_S)
        self._min_voters = min_voters
        self._started = clock.now()

    async def replace(self, configuration: Configuration) -> Reply:
        """Commit a whole configuration if its version is above the one held."""
        faults = configuration.faults()
        if faults:
            extra = {"version": configuration.version, "faults": faults[:5]}
            log.info("configuration refused", extra=extra)
            return Invalid(faults)
        result = await self._submit(Replace(configuration))
        if not isinstance(result, ChangeResult):
            extra = {"version": configuration.version}
            log.warning("configuration not committed in time", extra=extra)
            return Unavailable("no quorum confirmed it in time")
        extra = {"version": configuration.version, "held": result.version}
        log.info("configuration acknowledged", extra=extra)
        return Accepted()

    def log_unreadable_document(self, exc: DocumentError) -> None:
        """Log a document that could not be read."""
        log.info("configuration refused", extra={"error": exc.message})

    async def read_document(self) -> bytes | None:
        """Return the newest configuration's document, or None if that is not known."""
        try:
            async with asyncio.timeout(seconds(CALL_TIMEOUT)):
                current = await self._replica.catch_up()
        except TimeoutError:
            current = False
        document = self._replica.state.configuration.document
        if not current or not document:
            log.info("configuration not read", extra={"current": current})
            return None
        return document

    async def heartbeat(self, registration: Registration) -> Reply:
        """Take an upstream's heartbeat; leaving is acknowledged once committed."""
        if not self._feed.accepts(registration):
            return Invalid((UNKNOWN_POOL,))
        if not registration.ready:
            return await self.leave(registration.incarnation)
        self._feed.register(registration)
        return Accepted()

    async def evacuate(self, domain: str, *, evacuated: bool) -> Reply:
        """Commit that a failure domain is evacuated, or taken back."""
        status = await self._feed.evacuations.order(
            domain, evacuated=evacuated, submit=self._submit
        )
        match status:
            case OrderStatus.TAKEN:
                return Accepted()
            case OrderStatus.TOO_MANY_DOMAINS:
                return Invalid(("too many failure domains",))
            case OrderStatus.MAY_BE_LATE:
                return Unavailable("it may be a late copy of an earlier order")
            case OrderStatus.OVERTAKEN:
                return Unavailable("another order came first")
            case OrderStatus.NOT_COMMITTED:
                return Unavailable("no quorum confirmed it in time")

    async def leave_without_start(self, instance: str) -> Reply:
        """Commit that an upstream leaves that does not say which start of it does.

        It is the one that is heard here. Where upstreams state their starts and this
        one is not heard here, another replica has to tell.
        """
        start = self._feed.start_of(instance)
        if start is None:
            return Unavailable("its start is not known here")
        return await self.leave(Incarnation(instance, start))

    async def leave(self, incarnation: Incarnation) -> Reply:
        """Commit that an upstream leaves."""
        if incarnation in self._replica.state.departed:
            return Accepted()
        extra = {"instance": str(incarnation)}
        result = await self._submit(
            Leave(incarnation.instance, start=incarnation.start)
        )
        if not isinstance(result, LeaveResult):
            log.warning("leaving not committed in time", extra=extra)
            return Unavailable("no quorum confirmed it in time")
        log.info("leaving acknowledged", extra=extra)
        return Accepted()

    def record_refused_registration(
        self, instance: str, fault: str, message: str
    ) -> None:
        """Count a registration that names no upstream, and log it within a budget.

        Args:
            instance: The id that it was sent for.
            fault: Stable name of what is wrong.
            message: One line for a person.
        """
        self._metrics.registrations_refused.inc(fault)
        if self._line_budget.take():
            extra = {"instance": instance[:MAX_LOGGED_ID], "fault": fault}
            log.info("registration refused", extra=extra | {"detail": message})

    async def _submit(self, command: Command) -> CommandResult | None:
        try:
            async with asyncio.timeout(seconds(CALL_TIMEOUT)):
                await self._wait_for_voters()
                return await self._replica.submit(command)
        except TimeoutError:
            return None

    async def _wait_for_voters(self) -> None:
        """Wait for enough voters, but not for long."""
        while (
            self._replica.voters < self._min_voters
            and self._clock.now() - self._started < VOTER_WAIT_LIMIT
        ):
            await sleep(VOTER_POLL_INTERVAL)
