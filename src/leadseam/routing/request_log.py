"""Logs and counts the requests and attempts of an entry."""

from __future__ import annotations

import logging
from dataclasses import asdict
from typing import TYPE_CHECKING

from leadseam.entry.error_responses import outcome_name
from leadseam.outcome import Answered, NotRun, Outcome
from leadseam.routing.attempt import FIRST_SERVER_ERROR, Broken, Streaming, Whole
from leadseam.routing.balance import own_tokens
from leadseam.routing.reply import NOT_SENT
from leadseam.routing.spoilt_answers import SpoiltAnswers
from leadseam.runtime.logs import LogLineLimiter, count_dropped_lines

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from leadseam.clock import Clock, Millis
    from leadseam.feed.client import FeedClient
    from leadseam.routing.account_log import AccountLog
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.attempt import Ending
    from leadseam.routing.dialect import AnswerHead
    from leadseam.routing.exchange import Exchange
    from leadseam.routing.placement import Placement
    from leadseam.routing.retry_budget import RetryActivity
    from leadseam.routing.retry_denial import RetryDenial
    from leadseam.routing.usage import Standing
    from leadseam.runtime.metrics import RoutingMetrics
    from leadseam.wire.feed import Registration

log = logging.getLogger("leadseam.routing.gateway")
"""Logger of the gateway; tools that read the log select lines by its name."""
MAX_LOGGED_PARTS = 8
"""Shared prompt parts named in a log line; most prompts have fewer."""


class RequestLog:
    """Counts outcomes of requests and logs them, within a budget of lines per second.

    Times are milliseconds in log lines and seconds in metrics.

    Args:
        feed: Source of the configuration version that each line carries.
        standing: Returns the standing of a client account, logged with refusals.
        account_log: Counts refusals by client account.
        clock: Source of time.
        metrics: Metrics of routed requests.
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
        self._lines = LogLineLimiter(clock)
        self._spoilt_answers = SpoiltAnswers()

    def update_dropped_lines(self) -> None:
        """Update the metric of lines that were suppressed or could not be written."""
        dropped = self._lines.suppressed + count_dropped_lines()
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
        """Count and log a request that was not admitted, with the event loop's lag."""
        self._metrics.requests.inc("not_run")
        if account is not None:
            self._account_log.record_refusal(account, refusal.reason)
            standing = self._standing(account, self._clock.now())
            self._metrics.refusals_by_standing.inc(standing.name.lower())
        if self._lines.take():
            extra = {
                "request": request_id,
                "account": account,
                "reason": refusal.reason.value,
                "lag_ms": lag,
                **self._configuration(),
                "ms": self._clock.now() - arrived,
            }
            if refusal.fingerprint:
                extra["fingerprint"] = refusal.fingerprint
            log.info("request refused", extra=extra)

    def attempt(
        self,
        exchange: Exchange,
        admitted: AdmittedRequest,
        ending: Ending,
        denial: RetryDenial | None,
    ) -> None:
        """Count how an answer ended, and log an attempt that failed.

        Args:
            exchange: The attempts at the request.
            admitted: The request.
            ending: How the attempt ended.
            denial: Why no other attempt follows, or None if one does.
        """
        end = exchange.answer_end
        if end is not None:
            self._metrics.answer_ends.inc(end.label())
        self._note_spoilt(exchange, admitted, ending)
        failed = isinstance(ending, Whole) and ending.status >= FIRST_SERVER_ERROR
        if not failed and isinstance(ending, Whole | Streaming):
            return
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": exchange.instance,
                "send": exchange.sends,
                "ending": type(ending).__name__.lower(),
                "retry": denial is None,
            }
            if denial is not None:
                extra["no_retry"] = denial.value
            if exchange.placement is not None:
                extra["version"] = exchange.placement.upstream.version
            if exchange.last_event is not None:
                extra["last_event"] = exchange.last_event
            if end is not None:
                extra |= end.log_fields()
            if isinstance(ending, Broken) and ending.head is not None:
                extra["head"] = ending.head.value
            if isinstance(ending, Broken):
                # The same for attempts of one request at different entries.
                extra["fingerprint"] = admitted.fingerprint()
                extra["answer"] = exchange.answer_progress.value
                extra["parts"] = [
                    part.identity for part in admitted.shared_parts[:MAX_LOGGED_PARTS]
                ]
            log.info("attempt failed", extra=extra)

    def _note_spoilt(
        self, exchange: Exchange, admitted: AdmittedRequest, ending: Ending
    ) -> None:
        """Count a spoilt answer; log it outside the budget, once a second by upstream.

        The answers that the upstream has spoilt since its last line are in `answers`.
        """
        end = exchange.answer_end
        fields: dict[str, object] = {}
        if end is not None and end.spoilt is not None:
            fault = end.spoilt.fault.value
            fields = end.log_fields()
        elif isinstance(ending, Broken) and ending.head is not None:
            fault = f"head_{ending.head}"
            fields = {"head": ending.head.value}
        else:
            return
        self._metrics.spoilt_answers.inc(fault)
        answers = self._spoilt_answers.record(exchange.instance, self._clock.now())
        if answers:
            extra = {
                **self._context(admitted),
                "instance": exchange.instance,
                "send": exchange.sends,
                "last_event": exchange.last_event,
                "answers": answers,
                **fields,
            }
            log.warning("upstream sent an answer that is not the one due", extra=extra)

    def retries(self, rows: Iterable[RetryActivity]) -> None:
        """Count and log decisions on retries, outside the budget of lines.

        Summed over the entries, the lines show how close a pool comes to its limit.
        """
        for row in rows:
            self._metrics.retries.inc(row.pool, row.taken)
            self._metrics.retries_returned.inc(row.pool, row.returned)
            log.info("retries", extra=asdict(row))

    def count_fetch(self, placement: Placement) -> None:
        """Count an attempt whose engine is told to fetch prompt parts."""
        source = placement.source
        if source is None:
            return
        near = source.failure_domain == placement.upstream.failure_domain
        label = "own_domain" if near else "other_domain"
        self._metrics.fetches.inc(label)
        self._metrics.fetched_tokens.inc(label, placement.fetched)

    def silence(
        self, upstream: Registration, admitted: AdmittedRequest, *, excluded: bool
    ) -> None:
        """Log an upstream that has been silent for too long."""
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": str(upstream.incarnation),
                "left_alone": excluded,
            }
            log.info("upstream silent", extra=extra)

    def requests_pause(
        self, upstream: Registration, admitted: AdmittedRequest, head: AnswerHead
    ) -> None:
        """Count and log that an upstream refuses a request and requests a pause."""
        self._metrics.pauses_requested.inc("read" if head.pause else "not_read")
        if self._lines.take():
            extra = {
                **self._context(admitted),
                "instance": str(upstream.incarnation),
                "pause_ms": head.pause,
                "not_read": head.invalid_pause,
            }
            log.info("upstream asks for a pause", extra=extra)

    def announces_leaving(
        self, upstream: Registration, admitted: AdmittedRequest, status: int
    ) -> None:
        """Log, outside the budget, that an upstream announces that it is leaving."""
        extra = {
            **self._context(admitted),
            "instance": str(upstream.incarnation),
            "status": status,
        }
        log.info("upstream says in an answer that it leaves", extra=extra)

    def excluded(self, upstream: Registration, ending: Ending) -> None:
        """Log, outside the budget, that an upstream gets no new work for a while."""
        extra = {"instance": str(upstream.incarnation), "ending": repr(ending)}
        log.warning("upstream left alone for a while", extra=extra)

    def address_lost(self, upstream: Registration) -> None:
        """Log, outside the budget, that another upstream uses an upstream's address."""
        extra = {"instance": str(upstream.incarnation), "ip": upstream.ip}
        log.info("address is used by another upstream", extra=extra)

    def end(self, exchange: Exchange, admitted: AdmittedRequest) -> None:
        """Count and log the end of an admitted request."""
        now = self._clock.now()
        outcome: Outcome = exchange.outcome
        self._metrics.requests.inc(outcome_name(outcome))
        if admitted.waited:
            self._metrics.retried.inc(outcome_name(outcome))
        self._metrics.duration.add({}, (now - admitted.arrived) / 1_000)
        if exchange.first_byte_at != NOT_SENT:
            first = exchange.first_byte_at - admitted.arrived
            self._metrics.first_byte.add({}, first / 1_000)
        if isinstance(outcome, NotRun) and admitted.account is not None:
            self._account_log.record_refusal(admitted.account, outcome.reason)
            standing = self._standing(admitted.account, now)
            self._metrics.refusals_by_standing.inc(standing.name.lower())
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
            # Estimates from when the last upstream was chosen.
            extra["unread"] = exchange.placement.unread
            extra["reread"] = exchange.placement.reread
            extra["rank"] = exchange.placement.rank
            extra["fetched"] = exchange.placement.fetched
            extra["version"] = exchange.placement.upstream.version
            if exchange.placement.source is not None:
                extra["source"] = str(exchange.placement.source.incarnation)
        if admitted.waited:
            extra["waited_ms"] = admitted.waited
        if admitted.req.resume_after is not None:
            extra["resumes"] = admitted.req.resumes
            extra["resume_after"] = admitted.req.resume_after
        if exchange.first_byte_at != NOT_SENT:
            extra["first_ms"] = exchange.first_byte_at - admitted.arrived
        if exchange.answer_end is not None:
            extra |= exchange.answer_end.log_fields()
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
