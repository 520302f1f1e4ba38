"""Runs one admitted request: attempts, retries, and the response to the caller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field, replace
from functools import partial
from typing import TYPE_CHECKING, NoReturn

from aiohttp import web

from leadseam.answer_end import Completeness
from leadseam.clock import seconds
from leadseam.control.routes import Repeat, ReplyForm
from leadseam.crashes.evidence import AnswerProgress
from leadseam.entry.error_responses import STATUS_CODES, UNAVAILABLE
from leadseam.event_sequence import EventFormat
from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from leadseam.routing.attempt import (
    FIRST_SERVER_ERROR,
    MISDIRECTED,
    Broken,
    Declined,
    Ending,
    Streaming,
    Unreachable,
    Whole,
    Withheld,
    attempt,
)
from leadseam.routing.dialect import AttemptHead
from leadseam.routing.reply import Reply
from leadseam.routing.retry_denial import RetryDenial
from leadseam.routing.return_time import longest_pause
from leadseam.routing.silence import SilenceWatch, first_byte_limit, gap_limit
from leadseam.routing.stream_origin import StreamOrigin
from leadseam.routing.unconfirmed import NEVER

if TYPE_CHECKING:
    from leadseam.answer_end import AnswerEnd
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.dialect import AnswerHead
    from leadseam.routing.flight import Flight
    from leadseam.routing.gateway import Gateway
    from leadseam.routing.placement import Placement
    from leadseam.runtime.upstream_connection import UpstreamConnection
    from leadseam.wire.feed import Registration

MAX_SENDS = 4
"""Sends of one request at most, including those to upstreams that did not run it."""
MIN_TIME_LEFT: Millis = 20
"""Time to the deadline below which no further attempt is made: a few round trips
between boxes."""
UNKNOWN_VERSION = "\0"
"""Version that no upstream can state, for streams that must not go on anywhere yet."""
RETURN_JITTER: Millis = 500
"""Time over which retries of callers are spread once an upstream's pause is over."""


@dataclass(slots=True)
class _Progress:
    """Attempts made so far.

    Args:
        sends: Number of upstreams that the request was sent to.
        runs: Number of those that may have run it.
        tried: Incarnations of the upstreams that were tried.
        last: Incarnation that was tried last, or None.
        conn: Connection of the last send, or None.
        written: Time of the last send.
        permit: Time at which a retry was taken from the budget that has not been sent
            yet, or None.
        fetching: Whether an engine may be told to fetch prompt parts. It is not after
            an attempt that was told so broke off, as the fetch may be the reason.
    """

    sends: int = 0
    runs: int = 0
    tried: set[Incarnation] = field(default_factory=set)
    last: Incarnation | None = None
    conn: UpstreamConnection | None = None
    written: Millis = 0
    permit: Millis | None = None
    fetching: bool = True


class Exchange:
    """Runs one admitted request until the caller has its response.

    Args:
        gateway: Gateway with the state that all exchanges share.
        http: The caller's HTTP request.
        admitted: The admitted request.
    """

    def __init__(
        self, gateway: Gateway, http: web.BaseRequest, admitted: AdmittedRequest
    ) -> None:
        self._gateway = gateway
        self._request = admitted
        self._progress = _Progress()
        self._timeout: asyncio.Timeout | None = None
        self._watch: SilenceWatch | None = None
        self._ended_by_guard = False
        self._reply = Reply(
            http,
            prepare=gateway.set_keep_alive,
            now=gateway.now,
            last_event=admitted.req.resume_after,
            event_format=_event_format(gateway, admitted),
            on_first_event=self._note_first_event,
        )
        self.outcome: Outcome = Unknown(Reason.LINK_LOST)
        self.answer_end: AnswerEnd | None = None
        self.placement: Placement | None = None
        self._flight: Flight | None = None
        # An upstream's error, delivered if its retry has no answer.
        self._failure: Whole | None = None

    @property
    def admitted(self) -> AdmittedRequest:
        """The admitted request."""
        return self._request

    @property
    def instance(self) -> str:
        """Name of the last upstream tried, as in log lines; empty if there is none."""
        return str(self._progress.last or "")

    @property
    def last_event(self) -> str | None:
        """Id of the last event that the caller has received, or None."""
        return self._reply.last_event

    @property
    def answer_progress(self) -> AnswerProgress:
        """How far the answer of the last attempt has come."""
        return self._flight.progress if self._flight else AnswerProgress.NONE

    @property
    def sends(self) -> int:
        """Number of upstreams that the request was sent to."""
        return self._progress.sends

    @property
    def first_byte_at(self) -> Millis:
        """Time of the first byte sent to the caller, or `NOT_SENT`."""
        return self._reply.first_byte_at

    def reset_deadline_timer(self) -> None:
        """Set the timer to the time left, as it does not count suspended time.

        A timer that has expired already is cancelling the request.
        """
        if self._timeout is not None and not self._timeout.expired():
            left = self._request.deadline - self._gateway.now()
            loop = asyncio.get_running_loop()
            self._timeout.reschedule(loop.time() + seconds(max(left, 1)))

    def end_attempt(self) -> None:
        """End the current attempt, if any, as the request crashes upstreams."""
        if self._watch is not None:
            self._ended_by_guard = True
            self._watch.end()

    async def run(self) -> web.StreamResponse:
        """Return the finished response.

        Raises:
            CallerGoneError: If the caller's connection is closed or was aborted.
        """
        try:
            async with asyncio.timeout(None) as self._timeout:
                self.reset_deadline_timer()
                return await self._forward()
        except TimeoutError:
            return self._deadline_passed()
        finally:
            self._return_permit()

    async def _forward(self) -> web.StreamResponse:
        now = self._gateway.now()
        self._gateway.budget.note_request(
            self._request.pool, self._request.arrived, now
        )
        while True:
            progress = self._progress
            flight = await self._gateway.placer.place(
                self._request,
                progress.tried,
                again=progress.sends > 0,
                fetching=progress.fetching,
                begun=self._reply.started,
            )
            if isinstance(flight, Reason):
                return self._not_placed(flight)
            reason = self._gateway.crash_guard.refusal(
                self._request, again=progress.sends > 0
            )
            if self._gateway.now() >= self._request.deadline:
                # The box was suspended while the request waited; the timer is late.
                flight.end()
                return self._deadline_passed()
            if reason is not None:
                # It may have been convicted while it waited for a free slot.
                flight.end()
                return self._give_up(reason)
            ending = await self._send(flight)
            done = await self._finish(flight, ending)
            if done is not None:
                return done

    async def _send(self, flight: Flight) -> Ending:
        progress = self._progress
        progress.sends += 1
        progress.conn = None
        self.answer_end = None
        progress.tried.add(flight.upstream.incarnation)
        progress.last = flight.upstream.incarnation
        self.placement = flight.placement
        self._flight = flight
        self._gateway.request_log.count_fetch(flight.placement)
        try:
            ending = await self._attempt_watched(flight)
        finally:
            flight.end()
        if isinstance(ending, Broken) and flight.placement.source is not None:
            progress.fetching = False
        match ending:
            case Withheld():
                progress.sends -= 1
            case Unreachable() | Declined():
                pass
            case _:
                progress.runs += 1
        return ending

    async def _attempt_watched(self, flight: Flight) -> Ending:
        """Make an attempt; end it if the upstream is silent or has restarted."""
        watch = SilenceWatch(lambda: self._on_silence(flight))
        reason = Reason.UPSTREAM_SILENT

        def on_restart() -> None:
            nonlocal reason
            reason = Reason.UPSTREAM_RESTARTED
            watch.end()

        restarts = self._gateway.restarts.watch(flight.upstream.incarnation, on_restart)
        self._watch = watch
        try:
            async with watch:
                with restarts:
                    return await self._attempt_and_relay(flight, watch)
        except TimeoutError:
            return Broken(Reason.CRASHES_UPSTREAMS if self._ended_by_guard else reason)
        finally:
            self._watch = None

    async def _attempt_and_relay(self, flight: Flight, watch: SilenceWatch) -> Ending:
        route = self._request.route
        watch.reset(
            first_byte_limit(route.latency_objective, flight.expected_first_token)
        )
        ending = await self._attempt(flight.placement)
        if not isinstance(ending, Streaming):
            return await self._check_end(ending, flight)
        with self._gateway.watch_end(flight.upstream, ending.resp):
            ending = await self._relay(ending, flight, watch)
            return await self._check_end(ending, flight)

    async def _check_end(self, ending: Ending, flight: Flight) -> Ending:
        """Judge an answer whose own bytes do not tell whether it is whole."""
        match ending:
            case Whole(end=end) | Streaming(end=end) if end is not None:
                pass
            case _:
                return ending
        if end.completeness is not Completeness.UNKNOWN:
            return ending
        end = await self._gateway.check_end(flight.upstream, end)
        if end.completeness is Completeness.BROKEN:
            return Broken(Reason.UPSTREAM_BROKEN, end)
        return replace(ending, end=end)

    async def _relay(
        self, streaming: Streaming, flight: Flight, watch: SilenceWatch
    ) -> Ending:
        limit = gap_limit(self._request.route.max_pause)

        def on_data() -> None:
            flight.first_byte()
            if flight.begins_to_last():
                self._gateway.crash_guard.note_lasting(self._request)
            watch.reset(limit)

        return await self._reply.relay(streaming, on_data)

    def _note_first_event(self) -> None:
        """Bind the stream to the version of the upstream that begins it.

        If the upstream may have started again, its version is not known until it proves
        to be the same process.
        """
        request = self._request
        if not request.route.resumable or self.placement is None:
            return
        upstream = self.placement.upstream
        if upstream.version is None:
            return
        self._gateway.keep_spare(upstream)
        placer = self._gateway.placer
        if placer.may_have_restarted(upstream):
            self._request = replace(request, version=UNKNOWN_VERSION)
            placer.when_same_process(upstream, partial(self._bind, upstream))
        else:
            self._bind(upstream)

    def _bind(self, upstream: Registration) -> None:
        assert upstream.version is not None
        origin = StreamOrigin(upstream.pool, upstream.version)
        self._request = replace(self._request, version=origin.version)
        self._gateway.stream_began(self._request, origin)

    def _on_silence(self, flight: Flight) -> bool:
        """Return whether to end a silent attempt, as another upstream may take over."""
        self._gateway.note_silence(flight.upstream, self._request)
        # The silent attempt may have run too; it is not counted before its end.
        runs = self._progress.runs + 1
        if self._too_late() or not self._may_run_again(runs):
            return False
        if self._progress.sends >= MAX_SENDS:
            return False
        tried = self._progress.tried
        if not self._gateway.placer.has_other(self._request.scope, tried):
            return False
        return self._take_permit()

    async def _attempt(self, placement: Placement) -> Ending:
        request = self._request
        upstream, source = placement.upstream, placement.source
        head = AttemptHead(
            instance=upstream.instance,
            account=request.account,
            uses_account_keys=self._gateway.uses_account_keys,
            time_left=max(request.deadline - self._gateway.now(), 1),
            resume_after=self._reply.last_event,
            fetch_from=f"{source.ip}:{source.port}" if source is not None else "",
        )
        return await attempt(
            self._gateway.client,
            self._gateway.dialect,
            request.req,
            request.body,
            upstream=upstream,
            head=head,
            repeatable=request.route.repeatable,
            reply=request.route.reply,
            may_send=partial(self._may_send, upstream),
            on_head=partial(self._note_head, upstream),
        )

    def _may_send(self, upstream: Registration, conn: UpstreamConnection) -> bool:
        """Return whether the request may still be written; use its permit if so."""
        if not self._gateway.placer.may_send(upstream):
            return False
        self._progress.permit = None
        self._progress.conn = conn
        conn.on_idle_lost = partial(self._gateway.note_idle_lost, upstream)
        self._progress.written = self._gateway.now()
        return True

    def _note_head(self, upstream: Registration, status: int, head: AnswerHead) -> None:
        if head.request_id != self._request.req.request_id:
            # What another request's answer states may be another upstream's.
            return
        self._gateway.note_head(upstream, self._request, status, head)
        conn = self._progress.conn
        if conn is None or status == MISDIRECTED:
            return
        if self._flight is not None:
            self._flight.head()
        self._gateway.placer.record_same_process(
            upstream, connected=conn.opened_at, written=self._progress.written
        )

    # After an attempt

    async def _finish(
        self, flight: Flight, ending: Ending
    ) -> web.StreamResponse | None:
        """Return the response, or None to try another upstream."""
        match ending:
            case Whole(end=end) | Streaming(end=end) | Broken(end=end):
                self.answer_end = end
            case _:
                self.answer_end = None
        ended_by_guard = self._ended_by_guard and isinstance(ending, Broken)
        if not ended_by_guard:
            # An attempt that the guard ended is no evidence about the upstream or the
            # request, unless the answer was complete by then.
            conn = self._progress.conn
            alive_at = conn.alive_at if conn is not None else NEVER
            self._gateway.note_ending(flight.upstream, ending, alive_at=alive_at)
            self._gateway.crash_guard.note_ending(
                flight.upstream,
                self._request,
                ending,
                early=flight.ended_early(),
                progress=flight.progress,
            )
        denial = self._retry_denial(ending)
        self._gateway.request_log.attempt(self, self._request, ending, denial)
        if denial is None:
            if isinstance(ending, Whole):
                self._failure = ending
            return None
        match ending:
            case Whole():
                return self._deliver_whole(ending)
            case Streaming():
                response = await self._reply.end(ending)
                self.outcome = Answered(response.status)
                return response
            case Withheld():
                return self._give_up(Reason.NO_UPSTREAM)
            case Unreachable():
                return self._give_up(Reason.UPSTREAM_UNREACHABLE)
            case Declined():
                return self._give_up(Reason.UPSTREAM_FULL)
            case Broken(reason=reason):
                return self._give_up(reason)

    def _retry_denial(self, ending: Ending) -> RetryDenial | None:
        """Return why no attempt follows this one, or None if one may."""
        if self._progress.sends >= MAX_SENDS:
            return RetryDenial.ATTEMPTS
        if self._too_late():
            return RetryDenial.TIME
        if self._gateway.crash_guard.refusal(self._request, again=True) is not None:
            return RetryDenial.CRASHES
        match ending:
            case Withheld() | Unreachable():
                # The first arrival needs no permit.
                if self._progress.permit is None:
                    return None
            case Broken():
                if not self._may_run_again(self._progress.runs):
                    return RetryDenial.RUNS
            case Whole(status=status):
                if status < FIRST_SERVER_ERROR:
                    return RetryDenial.ANSWERED
                if not self._may_run_again(self._progress.runs):
                    return RetryDenial.RUNS
            case Streaming():
                return RetryDenial.ANSWERED
            case Declined():
                pass
        return None if self._take_permit() else RetryDenial.BUDGET

    def _may_run_again(self, runs: int) -> bool:
        """Check whether a request that may have run so many times may run again."""
        route = self._request.route
        if self._reply.started and not route.resumable:
            return False
        return route.repeatable and runs < route.max_attempts

    def _take_permit(self) -> bool:
        """Take a retry from the budget, in place of one that was not sent."""
        self._return_permit()
        if not self._gateway.take_retry(self._request.pool):
            return False
        self._progress.permit = self._gateway.now()
        return True

    def _return_permit(self) -> None:
        """Return a retry that was not sent to the budget."""
        if self._progress.permit is not None:
            self._gateway.return_retry(self._request.pool, self._progress.permit)
            self._progress.permit = None

    def _too_late(self) -> bool:
        return self._request.deadline - self._gateway.now() < MIN_TIME_LEFT

    # Answers

    def _deliver_whole(self, whole: Whole) -> web.StreamResponse:
        if self._reply.started:
            # The upstream that should have resumed the stream refused to.
            self._abort(Reason.UPSTREAM_BROKEN)
        self.outcome = Answered(whole.status)
        self._reply.note_first_byte()
        return web.Response(
            status=whole.status, headers=list(whole.headers), body=whole.body
        )

    def _not_placed(self, reason: Reason) -> web.StreamResponse:
        """End a request for which there is no upstream, or no other one to retry."""
        if self._reply.started:
            self._abort(reason)
        return self._give_up(Reason.UPSTREAM_BROKEN if self._progress.runs else reason)

    def _give_up(self, reason: Reason) -> web.StreamResponse:
        """End a request after its last attempt, without an upstream's answer."""
        if self._reply.started:
            self._abort(reason)
        if self._failure is not None:
            return self._deliver_whole(self._failure)
        if self._progress.runs == 0:
            return self._refuse(reason)
        if STATUS_CODES[reason] == UNAVAILABLE:
            # The request may have run, and 503 would state that it has not.
            reason = Reason.UPSTREAM_BROKEN
        lost = self._outcome_without_answer(reason)
        self.outcome = lost
        return self._gateway.error(lost)

    def _outcome_without_answer(self, reason: Reason) -> Failed | Unknown:
        """Return the outcome of a request that may have run, without an answer."""
        unsafe = self._request.route.repeat is Repeat.ONCE
        return Unknown(reason) if unsafe else Failed(reason)

    def _refuse(self, reason: Reason) -> web.StreamResponse:
        """End a request that has certainly not run."""
        pause = (
            None if reason is Reason.CRASHES_UPSTREAMS else self._retry_pause(reason)
        )
        self.outcome = NotRun(reason, pause)
        return self._gateway.error(self.outcome)

    def _retry_pause(self, reason: Reason) -> Millis:
        paused = self._gateway.placer.pause_left(self._request.scope)
        if paused:
            # No upstream takes it earlier; jitter keeps callers from retrying at once.
            return paused + self._gateway.jitter(RETURN_JITTER)
        left = max(self._request.deadline - self._gateway.now(), 0)
        if reason is Reason.UPSTREAM_FULL:
            # Of the causes of a refusal, the account's state shows only the lack of
            # engines.
            return self._gateway.return_pause(self._request, left)
        return self._gateway.jitter(longest_pause(left))

    def _deadline_passed(self) -> web.StreamResponse:
        if self._reply.started:
            self._abort(Reason.DEADLINE_PASSED)
        if self._failure is not None:
            return self._deliver_whole(self._failure)
        if self._progress.sends == 0:
            return self._refuse(Reason.NO_UPSTREAM)
        self.outcome = Unknown(Reason.DEADLINE_PASSED)
        return self._gateway.error(self.outcome)

    def _abort(self, reason: Reason) -> NoReturn:
        self.outcome = self._outcome_without_answer(reason)
        self._reply.abort(reason)


def _event_format(gateway: Gateway, admitted: AdmittedRequest) -> EventFormat:
    if admitted.route.reply is ReplyForm.EVENTS:
        return gateway.dialect.event_format
    return EventFormat()
