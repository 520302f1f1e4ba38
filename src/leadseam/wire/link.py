"""A link: one websocket whose writer task sends queued messages in shared frames."""

from __future__ import annotations

import asyncio
import contextlib
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
MAX_QUEUED = 20_000
MAX_PER_FRAME = 256
OPEN_TIMEOUT: Millis = 1_000
"""Time to open a link: boxes of a region are a few ms apart, and a new attempt sends a
lost first packet again sooner than the system does."""
KEEPALIVE_INTERVAL: Millis = 500
KEEPALIVE_TIMEOUT: Millis = 2_000
"""A box without power says nothing. It should count again within four seconds of its
return, and a link to its former self must be gone by then."""
WRITE_TIMEOUT: Millis = 2_000
"""Time that a frame may wait for the peer to read; keepalive waits behind it."""


class Link:
    """One open connection to a peer.

    The link owns its socket: `send` only queues, and a task of the link writes.
    Messages queued together travel in one frame.

    Args:
        conn: The open websocket.
        traffic: Counters of the process.
    """

    def __init__(self, conn: Connection, traffic: Traffic) -> None:
        self._conn = conn
        self._traffic = traffic
        self._queue: deque[AnyMessage | EncodedMessage] = deque()
        self._wake = asyncio.Event()
        self._writer = spawn(self._write())
        self._aborted = False

    def __repr__(self) -> str:
        return f"Link({self._conn.remote_address}, queued={len(self._queue)})"

    def send(self, message: AnyMessage | EncodedMessage) -> None:
        """Queue a message; a peer that cannot keep up loses the connection."""
        if self._aborted:
            return
        if len(self._queue) >= MAX_QUEUED:
            self.abort()
            return
        self._queue.append(message)
        self._wake.set()

    async def messages(self) -> AsyncIterator[AnyMessage]:
        """Yield messages until the connection ends.

        Raises:
            WireError: If the peer sends a malformed frame.
        """
        try:
            async for data in self._conn:
                if isinstance(data, str):
                    raise WireError("text frame")
                messages = decode_frame(data)
                self._traffic.received(len(data), messages)
                for message in messages:
                    yield message
        except websockets.ConnectionClosed:
            return

    def abort(self) -> None:
        """Drop the connection without a closing handshake."""
        if self._aborted:
            return
        self._aborted = True
        self._queue.clear()
        self._writer.cancel()
        self._conn.transport.abort()

    async def close(self) -> None:
        """Send what is queued, then close."""
        with contextlib.suppress(websockets.ConnectionClosed, TimeoutError):
            while self._queue:
                await self._flush()
        self._writer.cancel()
        await self._conn.close()

    async def _write(self) -> None:
        try:
            while True:
                await self._wake.wait()
                self._wake.clear()
                while self._queue:
                    await self._flush()
        except (websockets.ConnectionClosed, TimeoutError):
            return
        finally:
            # A link that cannot write is of no use to its reader either.
            self.abort()

    async def _flush(self) -> None:
        count = min(len(self._queue), MAX_PER_FRAME)
        messages = [self._queue.popleft() for _ in range(count)]
        frame = encode_frame(messages)
        self._traffic.sent(len(frame), messages)
        async with asyncio.timeout(seconds(WRITE_TIMEOUT)):
            await self._conn.send(frame)


@contextlib.asynccontextmanager
async def dial(ip: str, port: int, traffic: Traffic) -> AsyncIterator[Link]:
    """Open a link to a peer.

    Args:
        ip: IP number of the peer.
        port: Its port.
        traffic: Counters of the process.

    Raises:
        OSError: If the peer cannot be reached.
        TimeoutError: If the peer does not answer within `OPEN_TIMEOUT`.
        websockets.WebSocketException: If the peer speaks something else.
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
    """Serve links.

    Args:
        ip: IP number to bind.
        port: Port to bind; 0 lets the system choose.
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
