"""One caller's request on its way: attempts, retries, and what the caller is told."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, NoReturn

from aiohttp import web

from leadseam.clock import seconds
from leadseam.control.routes import Repeat
from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from leadseam.routing.attempt import (
    FIRST_SERVER_ERROR,
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
from leadseam.routing.silence import SilenceWatch, first_limit, pause_limit

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.flight import Flight
    from leadseam.routing.gateway import Gateway
    from leadseam.routing.placement import Placement
    from leadseam.wire.feed import Registration

MAX_SENDS = 4
"""Upstreams tried for one request, those that did not run it included."""
MIN_TIME_LEFT: Millis = 20
"""Time left below which nothing more is sent: a few round trips between boxes."""
RETRY_AFTER_SHARE = 1 / 3
"""Part of the time left that a caller may be told to wait; more is not heeded."""
MAX_RETRY_PAUSE: Millis = 4_000
"""Longest pause told: bursts last a few seconds."""
RETURN_SPREAD: Millis = 500
"""Time over which callers come back once an upstream takes requests again."""


@dataclass(slots=True)
class _Progress:
    """What was tried so far.

    Args:
        sends: Upstreams that the request was sent to.
        runs: Those among them that may have run it.
        tried: Their incarnations.
        last: Incarnation that was sent to last, or None.
        retry_taken: Whether a retry of the shared budget is taken and not yet used.
    """

    sends: int = 0
    runs: int = 0
    tried: set[Incarnation] = field(default_factory=set)
    last: Incarnation | None = None
    retry_taken: bool = False


class Exchange:
    """Runs one admitted request to its end.

    Args:
        gateway: What it shares with the others.
        http: The caller's HTTP request.
        admitted: The request.
    """

    def __init__(
        self, gateway: Gateway, http: web.BaseRequest, admitted: AdmittedRequest
    ) -> None:
        self._gateway = gateway
        self._request = admitted
        self._progress = _Progress()
        self._limit: asyncio.Timeout | None = None
        self._watch: SilenceWatch | None = None
        self._ended_here = False
        self._reply = Reply(
            http,
            prepare=gateway.prepare,
            now=gateway.now,
            last_event=admitted.req.resume_after,
        )
        self.outcome: Outcome = Unknown(Reason.LINK_LOST)
        self.placement: Placement | None = None

    @property
    def admitted(self) -> AdmittedRequest:
        """The request."""
        return self._request

    @property
    def instance(self) -> str:
        """How lines name the upstream that was sent to last, or an empty text."""
        return str(self._progress.last or "")

    @property
    def sends(self) -> int:
        """Upstreams that it was sent to."""
        return self._progress.sends

    @property
    def first_byte_at(self) -> Millis:
        """When the first byte went to the caller, `NOT_YET` before."""
        return self._reply.first_byte_at

    def reset_deadline_timer(self) -> None:
        """Set the timer to the time that is left: it leaves out suspended time."""
        if self._limit is not None:
            left = self._request.deadline - self._gateway.now()
            loop = asyncio.get_running_loop()
            self._limit.reschedule(loop.time() + seconds(max(left, 1)))

    def end_attempt(self) -> None:
        """End the attempt under way, if any: the request must not reach upstreams."""
        if self._watch is not None:
            self._ended_here = True
            self._watch.end()

    async def run(self) -> web.StreamResponse:
        """Return the finished response; the caller's connection may be cut instead."""
        try:
            async with asyncio.timeout(None) as self._limit:
                self.reset_deadline_timer()
                return await self._forward()
        except TimeoutError:
            return self._out_of_time()

    async def _forward(self) -> web.StreamResponse:
        self._gateway.budget.note_request(self._request.pool, self._gateway.now())
        while True:
            progress = self._progress
            flight = await self._gateway.placer.place(
                self._request, progress.tried, again=progress.sends > 0
            )
            if isinstance(flight, Reason):
                return self._not_placed(flight)
            reason = self._gateway.crash_guard.refusal(self._request)
            if self._gateway.now() >= self._request.deadline:
                # The box was suspended while it waited, and the timer is late.
                flight.end()
                return self._out_of_time()
            if reason is not None:
                # It may have been convicted while it waited for room.
                flight.end()
                return self._give_up(reason)
            ending = await self._send(flight)
            done = await self._finish(flight, ending)
            if done is not None:
                return done

    async def _send(self, flight: Flight) -> Ending:
        progress = self._progress
        progress.sends += 1
        progress.tried.add(flight.upstream.incarnation)
        progress.last = flight.upstream.incarnation
        self.placement = flight.placement
        try:
            ending = await self._watched(flight)
        finally:
            flight.end()
        match ending:
            case Withheld():
                progress.sends -= 1
            case Unreachable() | Declined():
                pass
            case _:
                progress.runs += 1
        return ending

    async def _watched(self, flight: Flight) -> Ending:
        """Make an attempt; it may be given up if the upstream is silent or gone."""
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
                    return await self._answered(flight, watch)
        except TimeoutError:
            return Broken(Reason.CRASHES_UPSTREAMS if self._ended_here else reason)
        finally:
            self._watch = None

    async def _answered(self, flight: Flight, watch: SilenceWatch) -> Ending:
        route = self._request.route
        watch.wait(first_limit(route.latency_objective, flight.expected))
        ending = await self._attempt(flight.upstream)
        if isinstance(ending, Streaming):
            ending = await self._stream(ending, flight, watch)
        return ending

    async def _stream(
        self, streaming: Streaming, flight: Flight, watch: SilenceWatch
    ) -> Ending:
        limit = pause_limit(self._request.route.max_pause)

        def on_data() -> None:
            flight.first_byte()
            watch.wait(limit)

        return await self._reply.relay(streaming, on_data)

    def _on_silence(self, flight: Flight) -> bool:
        """Tell whether a silent attempt is to end, as another one may take over."""
        self._gateway.note_silence(flight.upstream, self._request)
        # This attempt may have run too, and is counted only once it has ended.
        runs = self._progress.runs + 1
        if self._too_late() or not self._may_run_again(runs):
            return False
        if self._progress.sends >= MAX_SENDS:
            return False
        self._progress.retry_taken = self._may_send_again()
        return self._progress.retry_taken

    async def _attempt(self, upstream: Registration) -> Ending:
        request = self._request
        head = AttemptHead(
            instance=upstream.instance,
            account=request.account,
            uses_account_keys=self._gateway.uses_account_keys,
            time_left=max(request.deadline - self._gateway.now(), 1),
            resume_after=self._reply.last_event,
        )
        return await attempt(
            self._gateway.client,
            self._gateway.dialect,
            request.req,
            request.body,
            upstream=upstream,
            head=head,
            repeatable=request.route.repeatable,
            may_send=partial(self._gateway.placer.may_send, upstream),
            on_head=partial(self._gateway.note_head, upstream, request),
        )

    # After an attempt

    async def _finish(
        self, flight: Flight, ending: Ending
    ) -> web.StreamResponse | None:
        """Return the response, or None to try another upstream."""
        cut_here = self._ended_here and isinstance(ending, Broken)
        if not cut_here:
            # A cut says nothing of the upstream or the request; an answer that was
            # whole by then does.
            self._gateway.note_ending(flight.upstream, ending)
            self._gateway.crash_guard.note_ending(
                flight.upstream, self._request, ending, early=flight.ended_early()
            )
        retry = self._may_retry(ending)
        self._gateway.request_log.attempt(self, self._request, ending, retry=retry)
        if retry:
            return None
        match ending:
            case Whole():
                return self._deliver_whole(ending)
            case Streaming():
                response = await self._reply.end()
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

    def _may_retry(self, ending: Ending) -> bool:
        if self._progress.sends >= MAX_SENDS or self._too_late():
            return False
        if self._gateway.crash_guard.refusal(self._request) is not None:
            return False
        runs = self._progress.runs
        match ending:
            case Withheld() | Unreachable():
                return True
            case Declined():
                return self._may_send_again()
            case Broken():
                return self._may_run_again(runs) and self._may_send_again()
            case Whole(status=status):
                failed = status >= FIRST_SERVER_ERROR
                return failed and self._may_run_again(runs) and self._may_send_again()
            case Streaming():
                return False

    def _may_run_again(self, runs: int) -> bool:
        """Tell whether a request that may have run so often may run once more."""
        route = self._request.route
        if self._reply.begun and not route.resumable:
            return False
        return route.repeatable and runs < route.max_attempts

    def _may_send_again(self) -> bool:
        """Use a retry of the shared budget, or the one taken for a silent attempt."""
        if self._progress.retry_taken:
            self._progress.retry_taken = False
            return True
        return self._gateway.take_retry(self._request.pool)

    def _too_late(self) -> bool:
        return self._request.deadline - self._gateway.now() < MIN_TIME_LEFT

    # Answers

    def _deliver_whole(self, whole: Whole) -> web.StreamResponse:
        if self._reply.begun:
            # A refusal by the upstream that should have gone on with a stream.
            self._cut(Reason.UPSTREAM_BROKEN)
        self.outcome = Answered(whole.status)
        self._reply.note_first_byte()
        return web.Response(
            status=whole.status, headers=list(whole.headers), body=whole.body
        )

    def _not_placed(self, reason: Reason) -> web.StreamResponse:
        """End a request for which there is no upstream, or no further one."""
        if self._reply.begun:
            self._cut(reason)
        return self._give_up(Reason.UPSTREAM_BROKEN if self._progress.runs else reason)

    def _give_up(self, reason: Reason) -> web.StreamResponse:
        """End a request after its last attempt, with no answer of an upstream."""
        if self._reply.begun:
            self._cut(reason)
        if self._progress.runs == 0:
            return self._refuse(reason)
        if reason in (Reason.CRASHES_UPSTREAMS, Reason.MAY_CRASH_UPSTREAMS):
            # It has run, and 503 would say that it has not.
            reason = Reason.UPSTREAM_BROKEN
        lost = self._lost(reason)
        self.outcome = lost
        return self._gateway.error(lost)

    def _lost(self, reason: Reason) -> Failed | Unknown:
        """Return the outcome of a request that may have run, without an answer."""
        unsafe = self._request.route.repeat is Repeat.ONCE
        return Unknown(reason) if unsafe else Failed(reason)

    def _refuse(self, reason: Reason) -> web.StreamResponse:
        """End a request that has certainly not run."""
        pause = None if reason is Reason.CRASHES_UPSTREAMS else self._come_back()
        self.outcome = NotRun(reason, pause)
        return self._gateway.error(self.outcome)

    def _come_back(self) -> Millis:
        paused = self._gateway.placer.pause_left(self._request.scope)
        if paused:
            # Sooner there is nobody to serve it, and not all are to return at once.
            return paused + self._gateway.jitter(RETURN_SPREAD)
        left = max(self._request.deadline - self._gateway.now(), 0)
        return self._gateway.jitter(
            min(round(left * RETRY_AFTER_SHARE), MAX_RETRY_PAUSE)
        )

    def _out_of_time(self) -> web.StreamResponse:
        if self._reply.begun:
            self._cut(Reason.DEADLINE_PASSED)
        if self._progress.sends == 0:
            return self._refuse(Reason.NO_UPSTREAM)
        self.outcome = Unknown(Reason.DEADLINE_PASSED)
        return self._gateway.error(self.outcome)

    def _cut(self, reason: Reason) -> NoReturn:
        self.outcome = self._lost(reason)
        self._reply.cut(reason)
