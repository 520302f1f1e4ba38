"""Links to peers that no longer read."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from websockets.asyncio.server import serve

from leadseam.wire.consensus import Forward
from leadseam.wire.link import dial
from leadseam.wire.traffic import Traffic
from tools.ports import LOOPBACK

if TYPE_CHECKING:
    from websockets.asyncio.server import ServerConnection

SIZE = 1_000_000


async def test_a_peer_that_stops_reading_ends_the_link() -> None:
    over = asyncio.Event()

    async def stop_reading(conn: ServerConnection) -> None:
        conn.transport.pause_reading()
        await over.wait()
        conn.transport.abort()

    server = await serve(stop_reading, LOOPBACK, 0, ping_interval=None)
    port = next(iter(server.sockets)).getsockname()[1]
    try:
        async with dial(LOOPBACK, port, Traffic()) as link:
            # More than the buffers hold, so that the writer has to wait.
            for number in range(50):
                link.send(Forward("a", number, bytes(SIZE)))
            async with asyncio.timeout(30):
                async for _ in link.messages():
                    pass
    finally:
        over.set()
        server.close(close_connections=False)
        # A handler that outlives the loop is taken apart at any later moment.
        await server.wait_closed()
