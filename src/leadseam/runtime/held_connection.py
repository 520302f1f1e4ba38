"""An HTTP connection of a peer whose bytes are charged before they are parsed.

The HTTP library parses all that it is given, and keeps what it makes of it: a head of
short lines takes a hundred times its size, requests behind the one that runs are kept
as well, and one read may hold tens of thousands of chunks. So it is given small pieces
here, one request at a time, and each piece is charged first.
"""

from __future__ import annotations

import asyncio
import re
from functools import partial
from typing import TYPE_CHECKING, Any

from aiohttp import web
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from leadseam.peers.account import Shortage, Stage

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp.http import RawRequestMessage
    from aiohttp.streams import StreamReader

    from leadseam.peers.account import Holding
    from leadseam.runtime.peer_guard import PeerGuard

HEAD_END = b"\r\n\r\n"
CONNECTION_PRICE = 20_000
"""Bytes of an open connection: its protocol, parser, task and transport."""
LINE_PRICE = 768
"""Bytes that a header line takes in a parsed request and in the copies made of it."""
BODY_PRICE = 2.0
"""Bytes of memory for a byte of a body: it grows in steps, is copied once it is
complete, and once more on its way to an upstream."""
TURN_BYTES = 4_096
"""Bytes of heads and chunks that are parsed before other connections get their turn."""
MIN_PIECE_COST = 256
"""Bytes of a turn that a shorter piece counts as, for the work that it takes."""
LARGE_HEAD = 131_072
"""Price of a head above which its connection closes with the response: the library
keeps the head until the next request."""
MAX_FRAMING = 16_384
"""Bytes between two chunks with data, or behind the last one: extensions, trailers."""
_LAST_CHUNK = re.compile(rb"\n0+[^0-9a-fA-F]")
"""Where trailers may begin. They are parsed apart from data, as the library keeps each
of their lines."""
LINGERING_S = 0.5
"""Seconds for which bytes are ignored behind a refusal."""
RECEIVE_BUFFER = 65_536
"""Size of a socket's receive buffer, which counts as memory of the box."""


class RequestShedError(Exception):
    """The request was refused, as the process holds too much for its peers."""


class MalformedBodyError(Exception):
    """The body is not what its framing announces."""


class BodyTimeoutError(Exception):
    """The body has made no progress for too long."""


class HeldBaseRequest(web.BaseRequest):
    """A request whose body its connection collects."""

    async def read(self) -> bytes:
        """Return the whole body, which is not kept for a second call.

        Raises:
            HTTPRequestEntityTooLarge: If it is above the limit of the server.
            RequestShedError: If the process holds too much for its peers.
            MalformedBodyError: If the body is not what its framing announces.
            BodyTimeoutError: If it has made no progress for too long.
        """
        return await self._held.read_body(self._payload, self._client_max_size)

    @property
    def keep_alive(self) -> bool:
        """Whether the connection may be used again."""
        return super().keep_alive and not self._held.closes

    @property
    def is_handed(self) -> bool:
        """Whether another entry accepted the connection and hands it over."""
        return self._held.is_handed

    @property
    def _held(self) -> HeldConnection:
        assert isinstance(self._protocol, HeldConnection)
        return self._protocol


class HeldRequest(HeldBaseRequest, web.Request):
    """A request of an application whose body its connection collects."""

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            HTTPRequestEntityTooLarge: If it is above the limit of the application.
            HTTPServiceUnavailable: If the process holds too much for its peers.
            HTTPBadRequest: If the body is malformed.
        """
        if self._read_bytes is None:
            try:
                self._read_bytes = await super().read()
            except RequestShedError as exc:
                raise web.HTTPServiceUnavailable(headers={"Retry-After": "1"}) from exc
            except MalformedBodyError as exc:
                raise web.HTTPBadRequest from exc
        return self._read_bytes


class HeldConnection(RequestHandler):
    """A connection of a peer that is charged to the account of the process.

    Args:
        guard: Account of the process.
        holding: Holding of the connection, or None to open one.
        max_body: Largest body that is collected, in bytes; 0 for no limit.
        is_handed: Whether another entry hands the connection over, with one request.
    """

    def __init__(
        self,
        *args: Any,
        guard: PeerGuard,
        holding: Holding | None = None,
        max_body: int = 0,
        is_handed: bool = False,
        **kwargs: Any,
    ) -> None:
        super().__init__(*args, **kwargs)
        self.max_body = max_body
        self.is_handed = is_handed
        self._guard = guard
        self._holding = holding
        self._dropping = False
        self._closes = False
        # Bytes that have been read and not parsed, and the parsed part of them.
        self._unparsed = b""
        self._parsed = 0
        self._unparsed_price = 0
        self._waits_for_turn = False
        # Requests that were parsed and have not ended.
        self._unfinished = 0
        # The request whose body arrives.
        self._payload: StreamReader | None = None
        self._body = bytearray()
        self._body_left: int | None = None
        self._body_price = 0
        self._body_limit = 0
        self._body_error: Exception | None = None
        self._body_waiter: asyncio.Future[None] | None = None
        # Whether the request has ended before its body, which is ignored.
        self._discarding = False
        # Bytes since the last data of a body, and their price.
        self._framing = 0
        self._framing_price = 0
        # Prices of the head that arrives or runs, and of the last one, which the
        # library keeps.
        self._head_price = 0
        self._kept_price = 0
        # The last parsed bytes, among which a terminator may begin.
        self._last_bytes = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Charge the connection, or close it if there is no room for it."""
        super().connection_made(transport)
        if self._holding is None:
            self._holding = open_holding(self._guard, self, transport)
        else:
            # The address is only looked up of connections that stay.
            self._holding.address = peer_address(transport)
            self._guard.hand_over(self._holding, self)
        if self._holding is None:
            self.drop()
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Return all that is held for the connection."""
        payload = self._payload
        if payload is not None:
            # Neither the request nor the library waits for the rest of the body.
            self.fail_body(MalformedBodyError("the connection was closed"))
            payload.feed_eof()
        self.drop()
        if self._holding is not None:
            self._guard.close(self._holding)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Charge bytes and parse them, some at once and the others in later turns."""
        if self._dropping:
            return
        if not data:
            # The library resumes its parser.
            super().data_received(data)
            return
        self._unparsed = self._unparsed[self._parsed :] + data
        self._parsed = 0
        if not self._waits_for_turn:
            self._parse()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Resume only what was paused: the library calls this for each chunk read."""
        if self._reading_paused:
            super().resume_reading(resume_parser)

    def _resume_transport_reading(self) -> None:
        if len(self._unparsed) == self._parsed:
            super()._resume_transport_reading()

    def shed(self, shortage: Shortage) -> None:
        """Refuse the request that arrives, or close the connection."""
        if shortage is Shortage.CONNECTIONS or self.is_idle:
            self.drop()
            self.force_close()
        elif self._payload is not None:
            self.fail_body(RequestShedError())
        elif self._unfinished:
            # Only requests behind the one that runs are lost, which were not read.
            self.drop()
            self.close()
        else:
            self.drop()
            self.refuse_shed()

    def close(self) -> None:
        """Close after the current request, whose body is still read."""
        if self.awaits_body:
            self._closes = True
        else:
            super().close()

    def refuse_shed(self) -> None:
        """Refuse a request whose head has not arrived completely."""
        self.force_close()

    @property
    def is_idle(self) -> bool:
        """Whether no part of a request is there."""
        nothing_unparsed = len(self._unparsed) == self._parsed
        return not self._unfinished and nothing_unparsed and not self._head_price

    @property
    def awaits_head(self) -> bool:
        """Whether the next byte that is parsed belongs to the head of a request."""
        return not self._unfinished and self._payload is None

    @property
    def is_dropping(self) -> bool:
        """Whether all further bytes are ignored."""
        return self._dropping

    @property
    def awaits_body(self) -> bool:
        """Whether a request waits for the rest of its body."""
        return self._payload is not None and not self._discarding

    @property
    def closes(self) -> bool:
        """Whether the connection closes with the response."""
        return (
            self._closes
            or self.is_handed
            or self._dropping
            or self._head_price > LARGE_HEAD
        )

    async def read_body(self, payload: StreamReader, limit: int) -> bytes:
        """Return the body of the request that runs, once it is complete.

        Args:
            payload: The library's reader of the body.
            limit: Largest permitted size in bytes; 0 for none.

        Raises:
            HTTPRequestEntityTooLarge: If the body is larger.
            RequestShedError: If the process holds too much for its peers.
            MalformedBodyError: If the body is not what its framing announces.
            BodyTimeoutError: If it has made no progress for too long.
        """
        self._body_limit = limit
        self._check_body_size()
        while self._payload is payload and self._body_error is None:
            self._body_waiter = self._loop.create_future()
            await self._body_waiter
        if self._body_error is not None:
            raise self._body_error
        body = bytes(self._body)
        self._body = bytearray()
        return body

    def fail_body(self, error: Exception) -> None:
        """Let the request fail that arrives, and ignore all further bytes."""
        self._body_error = error
        self.drop()
        self._wake()

    async def _handle_request(
        self,
        request: web.BaseRequest,
        start_time: float | None,
        request_handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    ) -> tuple[web.StreamResponse, bool]:
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            self._end_request()

    def _end_request(self) -> None:
        """Return what the request that has ended held."""
        self._unfinished -= 1
        self._discarding = self._payload is not None
        self._return_body()
        if self._holding is not None:
            self._guard.give_back(self._holding, self._kept_price)
        # The library keeps the request until the next one.
        self._kept_price, self._head_price = self._head_price, 0
        if self._dropping:
            self.linger()
        elif not self._unfinished and not self._discarding:
            self._set_stage(Stage.IDLE)
            self._schedule()

    def linger(self) -> None:
        """Leave the transport to another protocol until the peer has its response.

        So this connection is freed at once, with the request that the library keeps.
        """
        transport, self.transport = self.transport, None
        self._force_close = True
        if transport is None or self._holding is None or self._manager is None:
            return
        transport.set_protocol(Lingering(transport, self._guard, self._holding))
        self._manager.connection_lost(self)
        # The library's timer would keep this object.
        self.keep_alive(False)
        if self._waiter is not None:
            self._waiter.cancel()

    def _return_body(self) -> None:
        self._body = bytearray()
        if self._holding is not None:
            self._guard.give_back(self._holding, self._body_price)
        self._body_price = 0

    # Parsing

    def _parse(self) -> None:
        """Parse up to a turn's bytes, and go on later if there are more."""
        left = TURN_BYTES
        while left > 0 and self._may_parse:
            piece = self._next_piece(left)
            if not self._charge(piece):
                break
            self._parsed += len(piece)
            if self._body_left is None:
                left -= max(len(piece), MIN_PIECE_COST)
            self.feed(piece)
        if self._dropping:
            return
        if len(self._unparsed) == self._parsed:
            self._unparsed = b""
            self._parsed = 0
        if self._may_parse:
            self._schedule()
        self._charge_unparsed()

    @property
    def _may_parse(self) -> bool:
        if self._dropping or len(self._unparsed) == self._parsed:
            return False
        return self._payload is not None or not self._unfinished

    def _schedule(self) -> None:
        if not self._waits_for_turn and self._may_parse:
            self._waits_for_turn = True
            self._guard.turns.add(self._take_turn)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        if not self._dropping:
            self._parse()

    def _next_piece(self, size: int) -> bytes:
        """Return the next bytes, at most up to the end of a head or body."""
        if self._payload is not None and self._body_left is not None:
            end = self._parsed + self._body_left
            return self._unparsed[self._parsed : end]
        piece = self._unparsed[self._parsed : self._parsed + size]
        # A head ends with an empty line, and so does a body of chunks.
        joined = self._last_bytes + piece
        end = joined.find(HEAD_END)
        if end >= 0:
            piece = piece[: end + len(HEAD_END) - len(self._last_bytes)]
        if self._payload is not None and (last := _LAST_CHUNK.search(joined)):
            piece = piece[: max(last.end() - len(self._last_bytes), 1)]
        return piece

    def feed(self, piece: bytes) -> None:
        """Parse bytes that were charged, at most up to the end of a head or body."""
        self._last_bytes = (self._last_bytes + piece)[1 - len(HEAD_END) :]
        before = len(self._messages)
        payload = self._payload
        was_head = payload is None
        if was_head:
            self._set_stage(Stage.ARRIVING)
        if payload is not None and self._body_left is not None:
            self._body_left -= len(piece)
        super().data_received(piece)
        new = len(self._messages) - before
        if new > 0 and payload is None:
            self._unfinished += new
            self._begin_body(*self._messages[-1])
        elif new > 0:
            # The library has queued a response to bytes that it can't parse.
            self._messages.pop()
            self.fail_body(MalformedBodyError())
            return
        if self._payload is not None:
            self._collect(b"" if was_head else piece)

    def _begin_body(
        self, message: RawRequestMessage | _ErrInfo, payload: StreamReader
    ) -> None:
        self._last_bytes = b""
        self._framing = 0
        self._framing_price = 0
        if payload.is_eof() or isinstance(message, _ErrInfo):
            self._set_stage(Stage.RUNNING)
            return
        self._payload = payload
        self._body_limit = self.max_body
        self._body_error = None
        self._body_left = None
        if not message.chunked and not message.upgrade:
            length = message.headers.get("Content-Length", "")
            self._body_left = int(length) if length.isdigit() else None

    def _collect(self, fed: bytes) -> None:
        """Move what was parsed of a body into one buffer, and settle its charge."""
        payload = self._payload
        assert payload is not None
        if payload.exception() is not None:
            self.fail_body(MalformedBodyError())
            return
        if self._discarding:
            # The library reads what still comes, and ignores it.
            self._return_body()
            if payload.is_eof():
                self._end_body()
            return
        data = payload.read_nowait(-1) if payload.total_bytes else b""
        self._body += data
        if data:
            self._framing = 0
            self._framing_price = 0
        else:
            self._framing += len(fed)
            self._framing_price += _price_of_lines(fed)
        assert self._holding is not None
        price = round(len(self._body) * BODY_PRICE) + self._framing_price
        excess = max(self._body_price - price, 0)
        self._guard.give_back(self._holding, excess)
        self._body_price -= excess
        self._check_body_size()
        if payload.is_eof():
            self._end_body()
        elif self._framing > MAX_FRAMING:
            self.fail_body(MalformedBodyError())

    def _end_body(self) -> None:
        if self._dropping:
            return
        self._payload = None
        self._body_left = None
        self._last_bytes = b""
        self._set_stage(Stage.IDLE if self._discarding else Stage.RUNNING)
        self._discarding = False
        self._wake()

    def _check_body_size(self) -> None:
        if self._body_limit and len(self._body) > self._body_limit:
            self.fail_body(web.HTTPRequestEntityTooLarge(self._body_limit))

    def _wake(self) -> None:
        if self._body_waiter is not None and not self._body_waiter.done():
            self._body_waiter.set_result(None)

    # Account

    def _charge(self, piece: bytes) -> bool:
        """Charge bytes before they are parsed; return whether they may be."""
        if self._payload is not None:
            price = round(len(piece) * BODY_PRICE)
            if self._body_left is None:
                price += _price_of_lines(piece)
        else:
            price = _price_of_lines(piece)
        if not self._take(price):
            return False
        if self._payload is not None:
            self._body_price += price
        else:
            self._head_price += price
        return True

    def _charge_unparsed(self) -> None:
        """Charge bytes that wait for their turn, and read no more until it has come."""
        waiting = len(self._unparsed) - self._parsed
        if waiting:
            self._pause_transport_reading()
        elif self._unparsed_price and not (self._reading_paused or self._buffer_paused):
            self._resume_transport_reading()
        price = len(self._unparsed) + RECEIVE_BUFFER if waiting else 0
        if price > self._unparsed_price:
            if not self._take(price - self._unparsed_price):
                return
        elif self._holding is not None:
            self._guard.give_back(self._holding, self._unparsed_price - price)
        self._unparsed_price = price

    def _take(self, size: int) -> bool:
        if self._holding is None or self._dropping:
            return False
        if self._guard.take(self._holding, size):
            return True
        self.shed(Shortage.BYTES)
        return False

    def _set_stage(self, stage: Stage) -> None:
        if self._holding is not None:
            self._guard.set_stage(self._holding, stage)

    def drop(self) -> None:
        """Free what has arrived of an unfinished request, and ignore what still comes.

        A request that has arrived completely goes on.
        """
        self._dropping = True
        released = self._unparsed_price
        self._unparsed = b""
        self._parsed = 0
        self._unparsed_price = 0
        if self._payload is not None:
            released += self._body_price
            self._body = bytearray()
            self._body_price = 0
            self._payload = None
        if not self._unfinished:
            released += self._head_price
            self._head_price = 0
            # Frees the lines of an unfinished head.
            self._parser = None
        if self._holding is not None:
            self._guard.give_back(self._holding, released)
        # Bytes that come are read and ignored, so that the peer can read its response.
        self._resume_transport_reading()


class Lingering(asyncio.Protocol):
    """Ignores what a peer still sends, and closes the connection a little later.

    A peer that still sends could lose its response if the connection was closed at
    once.

    Args:
        transport: Transport of the connection.
        guard: Account of the process.
        holding: Holding of the connection.
    """

    def __init__(
        self, transport: asyncio.Transport, guard: PeerGuard, holding: Holding
    ) -> None:
        self._transport = transport
        self._guard = guard
        self._holding = holding
        guard.hand_over(holding, self)
        guard.set_stage(holding, Stage.CLOSING)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(LINGERING_S, transport.close)

    def connection_lost(self, exc: Exception | None) -> None:
        """Return what is held for the connection."""
        self._timer.cancel()
        self._guard.close(self._holding)

    def shed(self, _: Shortage) -> None:
        """Close the connection, as others need it."""
        self._transport.close()


def _price_of_lines(piece: bytes) -> int:
    """Return the bytes that the lines of a head or of trailers may take."""
    return len(piece) + LINE_PRICE * piece.count(b"\n")


def open_holding(
    guard: PeerGuard, conn: Any, transport: asyncio.BaseTransport
) -> Holding | None:
    """Charge a new connection; return None if it has to be closed."""
    return guard.open(conn, peer_address(transport), CONNECTION_PRICE)


def peer_address(transport: asyncio.BaseTransport) -> str:
    """Return the IP address of a connection's peer, or an empty string."""
    peer = transport.get_extra_info("peername")
    return str(peer[0]) if peer else ""


class HeldAppRunner(web.AppRunner):
    """Runner of an application whose connections are charged to the process's account.

    Args:
        app: The application.
        guard: Account of the process.
        max_body: Largest body that is collected, in bytes.
        kwargs: Further arguments of the library's runner.
    """

    __slots__ = ("_guard", "_max_body")

    def __init__(
        self, app: web.Application, guard: PeerGuard, *, max_body: int, **kwargs: Any
    ) -> None:
        super().__init__(app, **kwargs)
        self._guard = guard
        self._max_body = max_body

    async def _make_server(self) -> web.Server:
        plain = await super()._make_server()
        return HeldServer(
            self.app._handle,
            request_factory=partial(self.app._make_request, _cls=HeldRequest),
            loop=plain._loop,
            handler_cancellation=plain.handler_cancellation,
            guard=self._guard,
            max_body=self._max_body,
            **{"lingering_time": LINGERING_S, **plain._kwargs},
        )


class HeldServer(web.Server):
    """Server whose connections are charged to the account of the process.

    Args:
        guard: Account of the process.
        max_body: Largest body that is collected, in bytes.
    """

    def __init__(
        self, *args: Any, guard: PeerGuard, max_body: int, **kwargs: Any
    ) -> None:
        super().__init__(*args, **kwargs)
        self._guard = guard
        self._max_body = max_body

    def __call__(self) -> HeldConnection:
        return HeldConnection(
            self,
            loop=self._loop,
            guard=self._guard,
            max_body=self._max_body,
            **self._kwargs,
        )
