"""Log lines and counters on single requests of an entry."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.entry.error_responses import outcome_name
from leadseam.outcome import Answered, NotRun, Outcome
from leadseam.routing.attempt import FIRST_SERVER_ERROR, Broken, Streaming, Whole
from leadseam.routing.balance import own_tokens
from leadseam.routing.reply import NOT_YET
from leadseam.runtime.logs import LineBudget, lines_not_written

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Clock, Millis
    from leadseam.feed.client import FeedClient
    from leadseam.routing.account_log import AccountLog
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.attempt import Ending
    from leadseam.routing.dialect import AnswerHead
    from leadseam.routing.exchange import Exchange
    from leadseam.routing.usage import Standing
    from leadseam.runtime.metrics import RoutingMetrics
    from leadseam.wire.feed import Registration

log = logging.getLogger("leadseam.routing.gateway")
"""The gateway's logger: readers of the lines know them by this name."""


class RequestLog:
    """Counts how requests end, and writes lines on them within a budget.

    Times in lines are milliseconds, those of the counters are seconds.

    Args:
        feed: Configuration in force, named on each line.
        standing: Returns what a client account may claim, named on refusals.
        account_log: Where refusals are counted by client account.
        clock: Source of time.
        metrics: Counters.
    """

    def __init__(
        self,
        *,
        feed: FeedClient,
        standing: Callable[[str, Millis], Standing],
        account_log: AccountLog,
        clock: Clock,
        metrics: RoutingMetrics,
    ) -> None:
        self._feed = feed
        self._standing = standing
        self._account_log = account_log
        self._clock = clock
        self._metrics = metrics
        self._lines = LineBudget(clock)

    def update_dropped_lines(self) -> None:
        """Show how many lines were left out, here or for want of an outlet."""
        dropped = self._lines.suppressed + lines_not_written()
        self._metrics.logs_dropped.set({}, dropped)

    def refusal(
        self,
        request_id: str,
        account: str | None,
        refusal: NotRun,
        arrived: Millis,
        *,
        lag: Millis,
    ) -> None:
        """Note a request that was not admitted, and the lag of the event loop."""
        self._metrics.requests.inc("not_run")
        if account is not None:
            self._account_log.record_refusal(account, refusal.reason)
        if self._lines.take():
            extra = {
                "request": request_id,
                "account": account,
                "reason": refusal.reason.value,
                "lag_ms": lag,
                **self._configuration(),
                "ms": self._clock.now() - arrived,
            }
            log.info("request refused", extra=extra)

    def attempt(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        ending: Ending,
        *,
        retry: bool,
    ) -> None:
        """Write a line for an attempt that did not end well."""
        failed = isinstance(ending, Whole) and ending.status >= FIRST_SERVER_ERROR
        if not failed and isinstance(ending, Whole | Streaming):
            return
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": exchange.instance,
                "send": exchange.sends,
                "ending": type(ending).__name__.lower(),
                "retry": retry,
            }
            if isinstance(ending, Broken):
                # Attempts of one request at different entries have the same.
                extra["fingerprint"] = admitted.fingerprint()
            log.info("attempt failed", extra=extra)

    def silence(
        self, upstream: Registration, admitted: AdmittedRequest, *, left_alone: bool
    ) -> None:
        """Write a line for an upstream that has not answered for too long."""
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": str(upstream.incarnation),
                "left_alone": left_alone,
            }
            log.info("upstream silent", extra=extra)

    def asks_pause(
        self, upstream: Registration, admitted: AdmittedRequest, head: AnswerHead
    ) -> None:
        """Note that an upstream turns a request away and asks for a pause."""
        self._metrics.pauses_asked.inc("read" if head.pause else "not_read")
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": str(upstream.incarnation),
                "pause_ms": head.pause,
                "not_read": head.invalid_pause,
            }
            log.info("upstream asks for a pause", extra=extra)

    def says_it_leaves(
        self, upstream: Registration, admitted: AdmittedRequest, status: int
    ) -> None:
        """Write a line, outside the budget, for an upstream that is about to end."""
        extra = {
            **self._context(admitted),
            "instance": str(upstream.incarnation),
            "status": status,
        }
        log.info("upstream says in an answer that it leaves", extra=extra)

    def left_alone(self, upstream: Registration, ending: Ending) -> None:
        """Write a line, outside the budget, for an upstream that gets no new work."""
        extra = {"instance": str(upstream.incarnation), "ending": repr(ending)}
        log.warning("upstream left alone for a while", extra=extra)

    def address_lost(self, upstream: Registration) -> None:
        """Write a line, outside the budget, for an address that another one holds."""
        extra = {"instance": str(upstream.incarnation), "ip": upstream.ip}
        log.info("address is held by another upstream", extra=extra)

    def end(self, exchange: Exchange, admitted: AdmittedRequest) -> None:
        """Note the end of an admitted request."""
        now = self._clock.now()
        outcome: Outcome = exchange.outcome
        self._metrics.requests.inc(outcome_name(outcome))
        self._metrics.duration.add({}, (now - admitted.arrived) / 1_000)
        if exchange.first_byte_at != NOT_YET:
            first = exchange.first_byte_at - admitted.arrived
            self._metrics.first_byte.add({}, first / 1_000)
        if isinstance(outcome, NotRun) and admitted.account is not None:
            self._account_log.record_refusal(admitted.account, outcome.reason)
        if self._lines.take():
            self._log_end(exchange, admitted, outcome, now)

    def _log_end(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        outcome: Outcome,
        now: Millis,
    ) -> None:
        extra = {
            **self._context(admitted),
            "instance": exchange.instance,
            "sends": exchange.sends,
            "outcome": outcome_name(outcome),
            "ms": now - admitted.arrived,
            "objective_ms": admitted.route.latency_objective,
            "prompt": own_tokens(admitted.req),
        }
        if exchange.placement is not None:
            # What the last choice of an upstream expected of it.
            extra["unread"] = exchange.placement.unread
            extra["reread"] = exchange.placement.reread
            extra["rank"] = exchange.placement.rank
        if exchange.first_byte_at != NOT_YET:
            extra["first_ms"] = exchange.first_byte_at - admitted.arrived
        if isinstance(outcome, Answered):
            extra["status"] = outcome.status
        else:
            extra["reason"] = outcome.reason.value
        if isinstance(outcome, NotRun) and admitted.account is not None:
            extra["standing"] = self._standing(admitted.account, now).name.lower()
        log.info("request ended", extra=extra)

    def _context(self, admitted: AdmittedRequest) -> dict[str, object]:
        return {
            "request": admitted.req.request_id,
            "route": admitted.route.name,
            "pool": admitted.pool,
            "account": admitted.account,
            **self._configuration(),
        }

    def _configuration(self) -> dict[str, object]:
        return {"config": self._feed.version, "config_age_ms": self._feed.age}
