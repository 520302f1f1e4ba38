"""Links to peers that stop reading."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from websockets.asyncio.server import serve

from leadseam.wire import link as link_module
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


async def test_a_message_that_is_too_large_for_its_peer_is_dropped_and_logged(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    received = asyncio.Queue[bytes | str]()

    async def read(conn: ServerConnection) -> None:
        async for frame in conn:
            received.put_nowait(frame)

    monkeypatch.setattr(link_module, "MAX_FRAME", 1_000)
    async with (
        serve(read, LOOPBACK, 0, ping_interval=None) as server,
        dial(LOOPBACK, next(iter(server.sockets)).getsockname()[1], Traffic()) as link,
    ):
        for size in (600, 2_000, 600):
            link.send(Forward("a", size, bytes(size)))
        async with asyncio.timeout(30):
            sizes = [len(await received.get()) for _ in range(2)]
    assert all(600 < size < 1_000 for size in sizes)
    errors = [one for one in caplog.records if one.name == link_module.__name__]
    assert [one.__dict__["message_type"] for one in errors] == ["Forward"]
