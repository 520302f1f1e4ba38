"""Relays one request: attempts it until it is answered, refused or fails."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from typing import TYPE_CHECKING

from aiohttp import HttpVersion11, web

from leadseam.clock import Clock, Millis
from leadseam.entry.error_responses import error_event
from leadseam.entry.request import (
    CallerRequest,
    Dispatched,
    LinkLost,
    NeverStarted,
    WaitingRequest,
)
from leadseam.entry.retry import (
    Deliver,
    Ending,
    Finish,
    Retry,
    RetryBudget,
    decide,
    outcome_without_retry,
)
from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from leadseam.runtime.sockets import abort_response
from leadseam.wire.dispatch import Accepted, Chunk, Final, Head, Refused

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from leadseam.entry.dispatcher import Dispatcher
    from leadseam.entry.request import AttemptEvent
    from leadseam.runtime.metrics import EntryMetrics
    from leadseam.settings.models import EntryLimits

EVENT_STREAM = "text/event-stream"
STORED_BODY_LIMIT = 4_096
MAX_HELD_BYTES = 64 * 1024
DEADLINE_GRACE: Millis = 50
CREDIT_PARTS = 4


class CallerGoneError(ConnectionError):
    """The caller closed the connection before the response was complete."""


class Relay:
    """Attempts one request and writes its response.

    Args:
        http: The caller's HTTP request.
        req: The validated request.
        dispatcher: Queues the request and dispatches it to sidecars.
        budget: Retry budget of the entry.
        limits: Limits on attempts and flow control in this entry.
        metrics: Metrics of this entry.
        clock: Source of time.
        outlives_caller: Whether to continue after the caller has disconnected, because
            the answer is stored for resends.
    """

    def __init__(
        self,
        http: web.Request,
        req: CallerRequest,
        *,
        dispatcher: Dispatcher,
        budget: RetryBudget,
        limits: EntryLimits,
        metrics: EntryMetrics,
        clock: Clock,
        outlives_caller: bool,
    ) -> None:
        self.response: web.StreamResponse | None = None
        self.stored_body = bytearray()
        self.content_type = ""
        self._http = http
        self._req = req
        self._dispatcher = dispatcher
        self._budget = budget
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self._dispatched: Dispatched | None = None
        self._attempts = 0
        self._outlives_caller = outlives_caller
        self._uncredited = 0
        self._buffered: deque[AttemptEvent] = deque()
        self._last_upstream = ""

    async def run(self) -> Outcome:
        """Attempt the request until it has an outcome.

        The response has been written in full only if the outcome is `Answered`.
        """
        admitted = self._dispatcher.submit(self._req)
        if isinstance(admitted, NotRun):
            return admitted
        try:
            return await self._attempt_until_done(admitted)
        finally:
            self._dispatcher.withdraw(admitted)
            self._cancel_attempt()

    async def _attempt_until_done(self, item: WaitingRequest) -> Outcome:
        while True:
            if not await self._wait_for_grant(item):
                return NotRun(Reason.DEADLINE_PASSED)
            ending = await self._wait_for_head(item)
            decision = decide(self._req, ending)
            if isinstance(decision, Deliver) and isinstance(ending, Head):
                broken = await self._buffer_small_answer(item, ending)
                if broken is not None:
                    ending, decision = broken, decide(self._req, broken)
            match decision:
                case Deliver():
                    return await self._deliver(item, ending)
                case Finish(outcome=outcome):
                    self._budget.failed()
                    return outcome
                case Retry():
                    if not self._may_retry(decision):
                        return outcome_without_retry(self._req, ending)
                    self._prepare_retry(item, decision)

    async def _wait_for_grant(self, item: WaitingRequest) -> bool:
        try:
            async with self._dispatcher.timeouts.until(self._req.deadline):
                event = await item.events.get()
        except TimeoutError:
            self._dispatcher.withdraw(item)
            if item.events.empty():
                return False
            event = item.events.get_nowait()
        assert isinstance(event, Dispatched)
        self._dispatched = event
        self._last_upstream = event.link.upstream.name
        self._attempts += 1
        return True

    async def _wait_for_head(self, item: WaitingRequest) -> Ending:
        """Wait for the head of the response, or for the attempt's end without one."""
        while True:
            event = await self._next_event(item)
            match event:
                case Accepted():
                    pass
                case Refused() | LinkLost() | NeverStarted() | Final():
                    self._dispatched = None
                    return event
                case Head():
                    return event
                case _:
                    raise AssertionError(f"unexpected {event!r}")

    async def _buffer_small_answer(
        self, item: WaitingRequest, head: Head
    ) -> Final | LinkLost | None:
        """Buffer the answer up to `MAX_HELD_BYTES` before sending any to the caller.

        While nothing has been sent, a failed attempt can be retried, or reported with a
        complete error response. Event streams are never buffered.

        Returns:
            The end of the attempt if it failed, or None if the answer may be delivered.
        """
        size = 0
        if _content_type(head).startswith(EVENT_STREAM):
            return None
        while size < MAX_HELD_BYTES:
            event = await self._receive(item)
            match event:
                case Chunk(data=data):
                    self._buffered.append(event)
                    size += len(data)
                case Final(error=""):
                    self._buffered.append(event)
                    return None
                case Final() | LinkLost():
                    self._buffered.clear()
                    self._dispatched = None
                    return event
                case _:
                    raise AssertionError(f"unexpected {event!r}")
        return None

    async def _next_event(self, item: WaitingRequest) -> AttemptEvent:
        """Return the next event, starting with the buffered ones."""
        return self._buffered.popleft() if self._buffered else await self._receive(item)

    async def _receive(self, item: WaitingRequest) -> AttemptEvent:
        """Wait for the next event of the attempt.

        Shortly after the request's deadline, the attempt is cancelled and a `Final`
        with the reason `DEADLINE_PASSED` returned instead.
        """
        limit = max(self._req.deadline, self._clock.now()) + DEADLINE_GRACE
        try:
            async with self._dispatcher.timeouts.until(limit):
                return await item.events.get()
        except TimeoutError:
            self._cancel_attempt()
            return Final(0, 0, 0, Reason.DEADLINE_PASSED, True)

    # Retries

    def _may_retry(self, retry: Retry) -> bool:
        if not retry.uses_budget:
            return self._clock.now() < self._req.deadline
        self._budget.failed()
        allowed = (
            self._attempts < self._limits.max_attempts
            and self._budget.allows()
            and self._clock.now() < self._req.deadline
        )
        if not allowed:
            self._metrics.retries_denied.inc({"reason": retry.reason})
        return allowed

    def _prepare_retry(self, item: WaitingRequest, retry: Retry) -> None:
        self._metrics.retries.inc({"reason": retry.reason})
        if retry.avoid and self._last_upstream:
            item.avoid.add(self._last_upstream)
        self._cancel_attempt()
        item.events = asyncio.Queue()
        self._dispatcher.requeue(item)

    def _cancel_attempt(self) -> None:
        if self._dispatched is not None:
            self._dispatched.link.cancel(self._dispatched.attempt)
            self._dispatched = None

    # The response

    async def _deliver(self, item: WaitingRequest, ending: Ending) -> Outcome:
        assert isinstance(ending, Head)
        response = web.StreamResponse(status=ending.status)
        for name, value in ending.headers:
            response.headers.add(name, value)
        self.response = response
        self.content_type = response.headers.get("Content-Type", "")
        return await self._stream(item, response)

    async def _stream(
        self, item: WaitingRequest, response: web.StreamResponse
    ) -> Outcome:
        await self._write_to_caller(response.prepare(self._http))
        chunks = 0
        size = 0
        while True:
            event = await self._next_event(item)
            match event:
                case Chunk(seq=seq, data=data) if seq == chunks:
                    await self._write_to_caller(response.write(data))
                    self._store_body(data)
                    self._return_credit(len(data))
                    chunks += 1
                    size += len(data)
                case Final(error="") if (event.chunks, event.size) == (chunks, size):
                    self._dispatched = None
                    await self._write_to_caller(response.write_eof())
                    self._budget.succeeded()
                    return Answered(response.status)
                case _:
                    return await self._abort_response(response, event)

    async def _write_to_caller(self, writing: Awaitable[object]) -> None:
        """Await a write to the caller, ignoring a lost caller if the relay outlives it.

        Raises:
            CallerGoneError: If the caller has disconnected and the relay ends with it.
        """
        try:
            await writing
        except (ConnectionError, RuntimeError) as exc:
            if not self._outlives_caller:
                raise CallerGoneError from exc

    async def _abort_response(
        self, response: web.StreamResponse, event: AttemptEvent
    ) -> Outcome:
        """Abort a started response so that it can't be mistaken for a complete one."""
        self._budget.failed()
        reason = Reason.UPSTREAM_BROKEN
        match event:
            case Final(error=error) if error:
                reason = Reason(error)
            case LinkLost():
                reason = Reason.LINK_LOST
            case _:
                pass
        outcome = Failed(reason) if self._req.repeatable else Unknown(reason)
        if self.content_type.startswith(EVENT_STREAM):
            with contextlib.suppress(ConnectionError, RuntimeError):
                await response.write(error_event(outcome))
        if self._http.transport is not None:
            chunked = self._http.version >= HttpVersion11
            abort_response(self._http.transport, chunked=chunked)
        return outcome

    def _store_body(self, data: bytes) -> None:
        if len(self.stored_body) <= STORED_BODY_LIMIT:
            self.stored_body += data

    def _return_credit(self, size: int) -> None:
        """Return credit once a fraction of the window is used, not for each chunk."""
        self._uncredited += size
        due = self._uncredited * CREDIT_PARTS >= self._limits.window_bytes
        if due and self._dispatched is not None:
            self._dispatched.link.credit(self._dispatched.attempt, self._uncredited)
            self._uncredited = 0


def _content_type(head: Head) -> str:
    names = (value for name, value in head.headers if name.lower() == "content-type")
    return next(names, "")
