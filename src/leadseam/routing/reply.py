"""Streams the answers of upstreams to a caller, and finishes or aborts the response."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING, NoReturn

import aiohttp
from aiohttp import HttpVersion11, web

from leadseam.answer_end import AnswerEnd, Close, Completeness, read_framing
from leadseam.event_sequence import EventFormat, EventReader, EventSequence
from leadseam.event_stream import EventTooLongError, PassThrough
from leadseam.outcome import Reason
from leadseam.routing.attempt import Broken, Ending, Streaming
from leadseam.routing.pump import Pump, connection_of
from leadseam.runtime.sockets import abort_response
from leadseam.runtime.upstream_connection import read_end

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from leadseam.clock import Millis

NOT_SENT: Millis = -1
"""Value of `first_byte_at` before the first byte is sent."""


class CallerGoneError(Exception):
    """The caller's connection is closed."""


class _SpoiltStreamError(Exception):
    """An answer has an event that is not the one due."""


class Reply:
    """The response to one caller, composed of the answers of one or more attempts.

    Args:
        http: The caller's HTTP request.
        prepare: Called with the response before its head is sent.
        now: Returns the current time.
        last_event: Id of the last event that the caller has received, or None.
        event_format: How the upstreams of its route write events.
        on_first_event: Called before the first event is sent to the caller.
    """

    def __init__(
        self,
        http: web.BaseRequest,
        *,
        prepare: Callable[[web.StreamResponse], None],
        now: Callable[[], Millis],
        last_event: str | None,
        event_format: EventFormat | None = None,
        on_first_event: Callable[[], None] = lambda: None,
    ) -> None:
        self.last_event = last_event
        self.first_byte_at: Millis = NOT_SENT
        self._http = http
        self._prepare = prepare
        self._now = now
        self._event_format = event_format or EventFormat()
        self._on_first_event = on_first_event
        self._response: web.StreamResponse | None = None
        # Empty lines and comments behind the last event.
        self._tail = b""

    def __repr__(self) -> str:
        return f"Reply(started={self.started}, last_event={self.last_event!r})"

    @property
    def started(self) -> bool:
        """Whether the head of a streamed response has been sent to the caller."""
        return self._response is not None

    async def relay(self, streaming: Streaming, on_data: Callable[[], None]) -> Ending:
        """Pass on an answer in complete events.

        Args:
            streaming: The answer; it is closed before this returns or raises.
            on_data: Called when bytes have arrived from the upstream.

        Returns:
            The answer, or `Broken` if it ends early.

        Raises:
            CallerGoneError: If the caller's connection is closed.
        """
        reader = self._reader(streaming)
        try:
            await self._write(streaming, reader, streaming.buffered)
            while data := await streaming.resp.content.readany():
                on_data()
                await self._write(streaming, reader, data)
                await self._pump(streaming, reader, on_data)
        except (EventTooLongError, _SpoiltStreamError):
            return self._drop(streaming, reader)
        except (aiohttp.ClientError, OSError) as exc:
            if isinstance(exc, ConnectionError) and self._caller_gone():
                raise CallerGoneError(str(exc)) from exc
            end = read_end(streaming.resp, exc, unfinished=reader.unfinished)
            return Broken(Reason.UPSTREAM_BROKEN, end)
        finally:
            # Makes the upstream stop its work if the answer is not read to the end.
            streaming.resp.close()
        end = read_end(streaming.resp, unfinished=reader.unfinished)
        if isinstance(reader, EventReader):
            if streaming.resp.method != "HEAD":
                reader.finish()
            end = replace(end, spoilt=reader.spoilt)
        if end.completeness is Completeness.BROKEN:
            return Broken(Reason.UPSTREAM_BROKEN, end)
        self._tail = reader.pending
        return replace(streaming, end=end)

    async def end(self, streaming: Streaming) -> web.StreamResponse:
        """Finish the response with an answer that was passed on, and return it.

        Raises:
            CallerGoneError: If the caller left before the end of the response.
        """
        if self._tail:
            await self._write(streaming, PassThrough(), self._tail)
        if self._response is None:
            await self._start(streaming)
        assert self._response is not None
        try:
            await self._response.write_eof()
        except ConnectionError as exc:
            raise CallerGoneError(str(exc)) from exc
        return self._response

    def abort(self, reason: Reason) -> NoReturn:
        """Abort the caller's connection so that the response cannot seem complete.

        Raises:
            CallerGoneError: Always, as nothing more can be sent.
        """
        if self._http.transport is not None:
            chunked = self._response is not None and bool(self._response.chunked)
            abort_response(self._http.transport, chunked=chunked)
        raise CallerGoneError(reason.value)

    def note_first_byte(self) -> None:
        """Set `first_byte_at` on the first call; later calls do nothing."""
        if self.first_byte_at == NOT_SENT:
            self.first_byte_at = self._now()

    def _caller_gone(self) -> bool:
        return self._open_transport() is None

    def _open_transport(self) -> asyncio.Transport | None:
        transport = self._http.transport
        return None if transport is None or transport.is_closing() else transport

    def _reader(self, streaming: Streaming) -> EventReader | PassThrough:
        if not streaming.events:
            return PassThrough()
        # Where events need no numbers, an upstream may ignore the caller's last one.
        is_bound = self.started or self._event_format.first is not None
        resume_after = self.last_event if is_bound else None
        return EventReader(EventSequence(self._event_format, resume_after=resume_after))

    def _drop(self, streaming: Streaming, reader: EventReader | PassThrough) -> Broken:
        """Return the ending of an answer that is not read any further."""
        resp = streaming.resp
        framing = read_framing(resp.method, resp.status, resp.headers)
        spoilt = reader.spoilt if isinstance(reader, EventReader) else None
        end = AnswerEnd(framing, Close.DROPPED, reader.unfinished, spoilt=spoilt)
        return Broken(Reason.UPSTREAM_BROKEN, end)

    async def _pump(
        self,
        streaming: Streaming,
        reader: EventReader | PassThrough,
        on_data: Callable[[], None],
    ) -> None:
        """Pass on events as they arrive, for as long as the caller keeps up."""
        conn = connection_of(streaming.resp)
        caller = self._http.protocol
        if conn is None or not self.started or caller.writing_paused:
            return

        def send(data: bytes) -> None:
            on_data()
            self._send(reader, data)

        await Pump(streaming.resp.content, conn, caller, send).run()

    def _send(self, reader: EventReader | PassThrough, received: bytes) -> None:
        """Write sound events to a response that has started, without waiting."""
        if data := b"".join(reader.feed(received)):
            transport = self._open_transport()
            if transport is None:
                raise CallerGoneError("connection closed")
            if self._response is not None and self._response.chunked:
                data = b"%x\r\n%b\r\n" % (len(data), data)
            transport.write(data)
            self._note_sent(reader)
        _stop_if_spoilt(reader)

    async def _write(
        self,
        streaming: Streaming,
        reader: EventReader | PassThrough,
        received: bytes,
    ) -> None:
        if data := b"".join(reader.feed(received)):
            if self._response is None and streaming.events:
                self._on_first_event()
            response = self._response or await self._start(streaming)
            # Writing hands the data to the transport before it first waits.
            self._note_sent(reader)
            try:
                await response.write(data)
                # Data written by `_send` may still be in the transport's buffer.
                await self._http.protocol._drain_helper()
            except ConnectionError as exc:
                raise CallerGoneError(str(exc)) from exc
        _stop_if_spoilt(reader)

    def _note_sent(self, reader: EventReader | PassThrough) -> None:
        if isinstance(reader, EventReader) and reader.last_id is not None:
            self.last_event = reader.last_id

    async def _start(self, streaming: Streaming) -> web.StreamResponse:
        status = streaming.resp.status
        response = web.StreamResponse(status=status, headers=list(streaming.headers))
        self._response = response
        if self._http.version >= HttpVersion11:
            response.enable_chunked_encoding()
        self._prepare(response)
        self.note_first_byte()
        await response.prepare(self._http)
        return response


def _stop_if_spoilt(reader: EventReader | PassThrough) -> None:
    if isinstance(reader, EventReader) and reader.spoilt is not None:
        raise _SpoiltStreamError
