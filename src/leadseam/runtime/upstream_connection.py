"""Client connections that tell how an answer ended.

If a connection is reset during an answer without a length, `aiohttp` reports a regular
end; so it does if this box closes the connection itself. It takes bytes that arrive on
an idle connection for the next answer. The connection class here corrects all three.
"""

from __future__ import annotations

import contextlib
import functools
import importlib
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from leadseam.answer_end import AnswerEnd, Close, read_framing
from leadseam.clock import Clock, Millis
from leadseam.runtime.connector import LoopConnector

if TYPE_CHECKING:
    from aiohttp import StreamReader
    from aiohttp.http import RawResponseMessage


def _read_strictly() -> None:
    """Have the HTTP library take no LF alone for the end of a line outside of bodies.

    It does so for answers unless it debugs. An upstream that mixes up its framing could
    then end a body with a byte of an event, or begin it with a header.
    """
    for name in ("_http_parser", "http_parser"):
        # A build of the library may have no compiled parser.
        with contextlib.suppress(ImportError):
            parser = importlib.import_module(f"aiohttp.{name}")
            parser.DEBUG = True  # type: ignore[attr-defined]
    aiohttp.http_parser.HttpResponseParserPy.lax = False


_read_strictly()


class AnswerResetError(aiohttp.ClientPayloadError):
    """The connection was reset before the end of an answer."""


class AnswerDroppedError(aiohttp.ClientPayloadError):
    """This box closed the connection before the end of an answer."""


INTERIM_STATUSES = frozenset(range(100, 200)) - {101}
"""Statuses of heads that come ahead of that of the answer. 101 ends an exchange."""
MAX_OVERHEAD = 256 * 1024
"""Bytes of an answer without any byte of its body: heads, sizes of chunks, trailers. A
head with lines of the largest size permitted takes some of them."""


class UpstreamConnection(ResponseHandler):
    """A client connection that detects resets and closes on surplus bytes.

    Attributes:
        listener: Called after bytes of an answer, its end or its failure have arrived;
            None if there is none. It must not raise.
        clock: Source of `opened_at` and `alive_at`; None to leave them at 0.
        opened_at: Time at which it was opened.
        alive_at: Time at which its peer was last heard.
        on_idle_lost: Called with the connection if the peer closes or resets it while
            it is kept for another request; None if nobody is to be told.
    """

    clock: Clock | None = None
    opened_at: Millis = 0
    alive_at: Millis = 0
    listener: Callable[[], None] | None = None
    on_idle_lost: Callable[[UpstreamConnection], None] | None = None
    _peer_closed = False
    _overhead = 0
    _awaits_head = False

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume reading if it is paused; the library calls this on each read."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def set_response_params(self, **kwargs: Any) -> None:
        """Prepare for an answer, and drop the state of the previous one."""
        self._payload = None
        self._overhead = 0
        # Bytes that came before the request was written are no answer to it.
        self._awaits_head = not self._tail
        super().set_response_params(**kwargs)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], *args: Any
    ) -> None:
        """Take a head. One that no request awaits closes the connection."""
        message, _ = data
        if not self._awaits_head:
            self._drop_surplus()
            return
        self._awaits_head = message.code in INTERIM_STATUSES
        super().feed_data(data, *args)

    def close(self) -> None:
        """Close the connection; an unfinished body fails."""
        self._fail_body(AnswerDroppedError("connection closed by this box"))
        super().close()

    def abort(self) -> None:
        """Abort the connection; an unfinished body fails."""
        self._fail_body(AnswerDroppedError("connection aborted by this box"))
        super().abort()

    def eof_received(self) -> None:
        """Fail an unfinished body if the end hides a reset.

        libuv reports the end of the stream if it finds the last bytes and a reset in
        one poll; `SO_ERROR` of the socket still holds the error.
        """
        self._peer_closed = True
        sock = self.transport.get_extra_info("socket") if self.transport else None
        if sock is not None:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if code:
                self._fail_body(AnswerResetError(f"reset: error {code}"))
        super().eof_received()
        self._notify_listener()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an unfinished body unless the peer closed the connection."""
        if exc is not None:
            self._fail_body(AnswerResetError(f"reset: {exc}"))
        elif not self._peer_closed:
            self._fail_body(AnswerDroppedError("connection closed by this box"))
        is_kept = self._payload is None or self._payload.is_eof()
        is_kept = is_kept and not self.should_close
        lost = exc is not None or self._peer_closed
        super().connection_lost(exc)
        self._notify_listener()
        if is_kept and lost and self.on_idle_lost is not None:
            self.on_idle_lost(self)

    def _fail_body(self, exc: aiohttp.ClientPayloadError) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof() and payload.exception() is None:
            payload.set_exception(exc)

    def data_received(self, data: bytes) -> None:
        """Process bytes; close the connection on bytes after a complete answer."""
        if self.clock is not None:
            self.alive_at = self.clock.now()
        if self._is_complete and data:
            self._drop_surplus()
            return
        before = self._body_bytes
        super().data_received(data)
        self._overhead = 0 if self._body_bytes > before else self._overhead + len(data)
        if self._overhead > MAX_OVERHEAD:
            self._drop_endless()
        self._notify_listener()

    @property
    def _is_complete(self) -> bool:
        """Whether an answer has arrived whole; the head of an interim one is none."""
        is_over = self._payload is not None and self._payload.is_eof()
        return is_over and not self._awaits_head

    @property
    def _body_bytes(self) -> int:
        """Bytes of the body received so far."""
        return self._payload.total_bytes if self._payload is not None else 0

    def _drop_surplus(self) -> None:
        """Close the connection, on which bytes came that are no answer to a request."""
        self.force_close()
        if self.transport is not None:
            self.transport.close()

    def _drop_endless(self) -> None:
        """Abort an answer whose head, chunk size or trailers do not end."""
        exc = AnswerDroppedError(f"over {MAX_OVERHEAD} bytes without a body")
        self._fail_body(exc)
        if self.exception() is None:
            self.set_exception(exc)
        if self.transport is not None:
            self.transport.abort()

    def _notify_listener(self) -> None:
        if self.listener is not None:
            self.listener()


class UpstreamConnector(LoopConnector):
    """A pool of `UpstreamConnection`s.

    Args:
        keepalive: Seconds that an idle connection is kept; None closes each connection
            after one request.
    """

    def __init__(self, *, keepalive: float | None = None) -> None:
        super().__init__(keepalive=keepalive)
        make: Callable[..., ResponseHandler] = UpstreamConnection
        self._factory = functools.partial(make, loop=self._loop)


def read_end(
    resp: aiohttp.ClientResponse,
    exc: Exception | None = None,
    *,
    unfinished: int = 0,
) -> AnswerEnd:
    """Return how the body of an answer ended.

    Args:
        resp: The answer, read to its end or to an error.
        exc: Error that ended reading, or None.
        unfinished: Bytes after the last complete event; 0 if it is no event stream.
    """
    framing = read_framing(resp.method, resp.status, resp.headers)
    match exc:
        case None:
            delimited = framing is not framing.CONNECTION
            close = Close.COMPLETE if delimited else Close.CLOSED
        case AnswerDroppedError():
            close = Close.DROPPED
        case aiohttp.ClientPayloadError() if not isinstance(exc, AnswerResetError):
            # The connection ended before the length or the last chunk was reached.
            close = Close.CLOSED
        case _:
            close = Close.RESET
    return AnswerEnd(framing, close, unfinished)
