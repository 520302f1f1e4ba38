"""Links between processes: a websocket with a queue and a task that writes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections import deque
from typing import TYPE_CHECKING

import websockets
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve

from leadseam.clock import Millis, seconds
from leadseam.errors import WireError
from leadseam.runtime.tasks import spawn
from leadseam.wire.codec import EncodedMessage, decode_frame, encode_frame

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from websockets.asyncio.connection import Connection
    from websockets.asyncio.server import Server

    from leadseam.wire.messages import AnyMessage
    from leadseam.wire.traffic import Traffic

MAX_FRAME = 64 * 1024 * 1024
"""Bytes of a frame; a peer closes the link on a larger one."""
MAX_QUEUED = 20_000
MAX_PER_FRAME = 256
OPEN_TIMEOUT: Millis = 1_000
"""Time to open a link. Boxes of a region are a few ms apart, and a new attempt resends
a lost first packet sooner than the operating system does."""
KEEPALIVE_INTERVAL: Millis = 500
KEEPALIVE_TIMEOUT: Millis = 2_000
"""A box that loses power closes no connection. It should be usable within four seconds
of its return, and links to its earlier processes must be closed by then."""
WRITE_TIMEOUT: Millis = 2_000
"""Time that a frame may wait for the peer to read; keepalive pings queue behind it."""

log = logging.getLogger(__name__)


class Link:
    """One open connection to a peer.

    The link owns its socket: `send` only queues messages, and a task of the link writes
    them. Messages that are queued together are sent in one frame.

    Args:
        conn: The open websocket.
        traffic: Counters of the process.
    """

    def __init__(self, conn: Connection, traffic: Traffic) -> None:
        self._conn = conn
        self._traffic = traffic
        self._queue: deque[AnyMessage | EncodedMessage] = deque()
        self._queued = asyncio.Event()
        self._writer = spawn(self._write())
        self._aborted = False

    def __repr__(self) -> str:
        return f"Link({self._conn.remote_address}, queued={len(self._queue)})"

    def send(self, message: AnyMessage | EncodedMessage) -> None:
        """Queue a message; a full queue aborts the connection to the slow peer."""
        if self._aborted:
            return
        if len(self._queue) >= MAX_QUEUED:
            self.abort()
            return
        self._queue.append(message)
        self._queued.set()

    async def messages(self) -> AsyncIterator[AnyMessage]:
        """Yield received messages until the connection ends.

        Raises:
            WireError: If the peer sends a malformed frame.
        """
        try:
            async for data in self._conn:
                if isinstance(data, str):
                    raise WireError("received a text frame, expected binary")
                messages = decode_frame(data)
                self._traffic.received(len(data), messages)
                for message in messages:
                    yield message
        except websockets.ConnectionClosed:
            return

    def abort(self) -> None:
        """Close the connection without a closing handshake; drop queued messages."""
        if self._aborted:
            return
        self._aborted = True
        self._queue.clear()
        self._writer.cancel()
        self._conn.transport.abort()

    async def close(self) -> None:
        """Send the queued messages, then close the connection."""
        with contextlib.suppress(websockets.ConnectionClosed, TimeoutError):
            while self._queue:
                await self._flush()
        self._writer.cancel()
        await self._conn.close()

    async def _write(self) -> None:
        try:
            while True:
                await self._queued.wait()
                self._queued.clear()
                while self._queue:
                    await self._flush()
        except (websockets.ConnectionClosed, TimeoutError):
            return
        finally:
            # If the link cannot write, its reader must end too.
            self.abort()

    async def _flush(self) -> None:
        count = min(len(self._queue), MAX_PER_FRAME)
        messages = [self._queue.popleft() for _ in range(count)]
        frame = encode_frame(messages)
        if len(frame) > MAX_FRAME:
            await self._write_singly(messages)
        else:
            await self._write_frame(frame, messages)

    async def _write_singly(self, messages: list[AnyMessage | EncodedMessage]) -> None:
        """Write messages in frames of their own; drop those that fit into none."""
        for message in messages:
            frame = encode_frame([message])
            if len(frame) <= MAX_FRAME:
                await self._write_frame(frame, [message])
                continue
            extra = {
                "message_type": type(message).__name__,
                "bytes": len(frame),
                "most": MAX_FRAME,
            }
            log.error("message is too large for its peer and was dropped", extra=extra)

    async def _write_frame(
        self, frame: bytes, messages: list[AnyMessage | EncodedMessage]
    ) -> None:
        self._traffic.sent(len(frame), messages)
        async with asyncio.timeout(seconds(WRITE_TIMEOUT)):
            await self._conn.send(frame)


@contextlib.asynccontextmanager
async def dial(ip: str, port: int, traffic: Traffic) -> AsyncIterator[Link]:
    """Open a link to a peer.

    Args:
        ip: IP address of the peer.
        port: Its port.
        traffic: Counters of the process.

    Raises:
        OSError: If the peer cannot be reached.
        TimeoutError: If the peer does not answer within `OPEN_TIMEOUT`.
        websockets.WebSocketException: If the peer does not speak the protocol.
    """
    async with connect(
        f"ws://{ip}:{port}/",
        compression=None,
        max_size=MAX_FRAME,
        open_timeout=seconds(OPEN_TIMEOUT),
        ping_interval=seconds(KEEPALIVE_INTERVAL),
        ping_timeout=seconds(KEEPALIVE_TIMEOUT),
        close_timeout=1,
        proxy=None,
    ) as conn:
        link = Link(conn, traffic)
        try:
            yield link
        finally:
            link.abort()


async def listen(
    ip: str,
    port: int,
    handler: Callable[[Link], Awaitable[None]],
    traffic: Traffic,
) -> Server:
    """Accept links from peers.

    Args:
        ip: IP address to bind.
        port: Port to bind; 0 lets the operating system choose one.
        handler: Called with each new link; the link ends when it returns.
        traffic: Counters of the process.

    Returns:
        The listening server.
    """

    async def run(conn: Connection) -> None:
        link = Link(conn, traffic)
        try:
            await handler(link)
        except WireError:
            pass
        finally:
            link.abort()

    return await serve(
        run,
        ip,
        port,
        compression=None,
        max_size=MAX_FRAME,
        ping_interval=seconds(KEEPALIVE_INTERVAL),
        ping_timeout=seconds(KEEPALIVE_TIMEOUT),
        close_timeout=1,
    )


LINK_ERRORS = (OSError, TimeoutError, websockets.WebSocketException, WireError)
