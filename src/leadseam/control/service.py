"""Commands of operators and registering upstreams, handled at a control replica."""

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
"""Timeout of a call. Callers try another replica after a second without a reply."""
VOTER_WAIT_LIMIT: Millis = 2_500
"""Time after its start for which a replica waits for enough voters before it commits.
The voters normally connect within a second; a change should not wait for four."""
VOTER_POLL_INTERVAL: Millis = 20
"""Interval at which the number of voters is checked."""
UNKNOWN_POOL = "the configuration does not name its pool"
REFUSAL_LINES_PER_S = 5
"""Maximum log lines per second about refused registrations. A metric counts all."""
MAX_LOGGED_ID = 128
"""Characters of an id that are logged: the maximum length of a valid id."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Accepted:
    """The command is committed, so it will not be lost."""


@dataclass(frozen=True, slots=True)
class Invalid:
    """The command is invalid; no replica will accept it."""

    faults: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Unavailable:
    """The outcome of the command is unknown; the caller may send it again."""

    reason: str


Reply: TypeAlias = Accepted | Invalid | Unavailable


class ControlService:
    """Handles configuration, registrations and evacuations at one replica.

    Args:
        replica: The replica that commits commands.
        feed: Feed that notifies entries.
        clock: Source of time.
        metrics: Metrics of the replica.
        min_voters: Number of voters required before the first commit, so that a commit
            survives the tolerated number of losses right after it.
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
        """Commit a configuration if its version is above the current one."""
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
        """Return the document of the newest configuration.

        Returns:
            None if no quorum confirms which one is newest, or if it has no document.
        """
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
        """Handle a heartbeat of an upstream.

        One that is not ready leaves; that is acknowledged once it is committed.
        """
        if not self._feed.accepts(registration):
            return Invalid((UNKNOWN_POOL,))
        if not registration.ready:
            return await self.leave(registration.incarnation)
        self._feed.register(registration)
        return Accepted()

    async def evacuate(self, domain: str, *, evacuated: bool) -> Reply:
        """Commit that a failure domain is evacuated or restored."""
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
        """Commit that an upstream leaves, given only its id and not its start.

        The start is that of its latest heartbeat at this replica. If upstreams state
        their starts but this replica receives no heartbeats of this one, only another
        replica can resolve the id.
        """
        start = self._feed.start_of(instance)
        if start is None:
            return Unavailable("its start is not known here")
        return await self.leave(Incarnation(instance, start))

    async def leave(self, incarnation: Incarnation) -> Reply:
        """Commit that an incarnation of an upstream leaves."""
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
        """Count a refused registration, and log it within the line budget.

        Args:
            instance: Id in the registration.
            fault: Stable name of the fault.
            message: One-line description for operators.
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
        """Wait for `min_voters` voters, until `VOTER_WAIT_LIMIT` after the start."""
        while (
            self._replica.voters < self._min_voters
            and self._clock.now() - self._started < VOTER_WAIT_LIMIT
        ):
            await sleep(VOTER_POLL_INTERVAL)
