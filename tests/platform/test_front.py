"""Connections of callers during a planned stop."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest
from aiohttp import web

from leadseam.platform.front import FrontServer
from leadseam.settings.models import Endpoint
from tools.ports import LOOPBACK, PortPool

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

REQUEST = b"GET /%s HTTP/1.1\r\nHost: a\r\n\r\n"


class ControlledServer:
    """A front server whose handler blocks on `/slow` until released."""

    def __init__(self) -> None:
        self.paths: list[str] = []
        self.release = asyncio.Event()
        self.front = FrontServer(self._handle)
        ports = PortPool()
        self.port = ports.reserve()
        ports.release(self.port)

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        self.paths.append(http.raw_path)
        if http.can_read_body:
            assert await http.read() == b"done"
        if http.raw_path == "/slow":
            await self.release.wait()
        return web.Response(body=b"done")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(LOOPBACK, self.port)


@pytest.fixture
async def server() -> AsyncIterator[ControlledServer]:
    """A running front server."""
    server = ControlledServer()
    await server.front.start(Endpoint(ip=LOOPBACK, port=server.port))
    try:
        yield server
    finally:
        await server.front.stop()


async def answer(reader: asyncio.StreamReader) -> bytes:
    """Read one response and return its body."""
    await reader.readuntil(b"\r\n\r\n")
    return await reader.readexactly(4)


async def test_idle_connections_are_closed_and_busy_ones_finish(
    server: ControlledServer,
) -> None:
    idle_reader, idle_writer = await server.connect()
    idle_writer.write(REQUEST % b"quick")
    assert await answer(idle_reader) == b"done"
    unused_reader, unused_writer = await server.connect()
    busy_reader, busy_writer = await server.connect()
    busy_writer.write(REQUEST % b"slow")
    while "/slow" not in server.paths:
        await asyncio.sleep(0)
    await server.front.close_idle()
    assert await idle_reader.read() == b""
    assert await unused_reader.read() == b""
    with pytest.raises(OSError):
        await server.connect()
    server.release.set()
    assert await answer(busy_reader) == b"done"
    assert await busy_reader.read() == b""
    for writer in (idle_writer, unused_writer, busy_writer):
        writer.close()


async def test_a_request_that_crosses_the_close_is_not_handled(
    server: ControlledServer,
) -> None:
    _, writer = await server.connect()
    while not server.front.connections:
        await asyncio.sleep(0)
    conn = server.front.connections[0]
    await server.front.close_idle()
    # A request read in the same iteration of the event loop reaches the handler now.

    late = SimpleNamespace(protocol=conn, raw_path="/late")
    await server.front._handle(cast("web.BaseRequest", late))
    assert server.paths == []
    writer.close()


async def test_a_body_that_arrives_during_a_planned_stop_is_read(
    server: ControlledServer,
) -> None:
    reader, writer = await server.connect()
    head = b"POST /body HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
    writer.write(head + b"do")
    while "/body" not in server.paths:
        await asyncio.sleep(0)
    await server.front.close_idle()
    writer.write(b"ne")
    assert await answer(reader) == b"done"
    assert await reader.read() == b""
    writer.close()
