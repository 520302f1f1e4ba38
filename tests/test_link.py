"""Links to peers that stop reading."""

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
            # This exceeds the buffers, so the writer has to wait.
            for number in range(50):
                link.send(Forward("a", number, bytes(SIZE)))
            async with asyncio.timeout(30):
                async for _ in link.messages():
                    pass
    finally:
        over.set()
        server.close(close_connections=False)
        # A handler still running when the loop closes would be finalized at an
        # arbitrary later time.
        await server.wait_closed()
