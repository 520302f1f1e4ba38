"""Connections whose bytes are charged before they are parsed.

Guards against bodies that are changed by the way they arrive, requests that are not
answered in order, and charges that are not returned.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from leadseam.clock import SystemClock
from leadseam.peers.limits import PeerLimits
from leadseam.runtime.held_connection import (
    CONNECTION_PRICE,
    LINE_PRICE,
    TURN_BYTES,
    HeldAppRunner,
    HeldConnection,
)
from leadseam.runtime.metrics import Metrics
from leadseam.runtime.peer_guard import PeerGuard
from tools.ports import LOOPBACK
from tools.waiting import CONDITION_TIMEOUT, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    Condition = Callable[[], Awaitable[bool]]

MAX_BODY = 300_000
HEAD = "POST /{name} HTTP/1.1\r\nHost: x\r\n{framing}\r\n\r\n"


class EchoServer:
    """Answers with the body of each request, on connections that are charged."""

    def __init__(self, *, max_bytes: int = 8_000_000) -> None:
        limits = PeerLimits(max_bytes=max_bytes, max_connections=100)
        self.guard = PeerGuard(limits, SystemClock(), Metrics())
        self.account = self.guard._account
        self.port = 0
        self.bodies: list[bytes] = []

    async def start(self) -> None:
        app = web.Application(client_max_size=MAX_BODY)
        app.add_routes([web.post("/early", self._early), web.post("/{_}", self._echo)])
        self._runner = HeldAppRunner(app, self.guard, max_body=MAX_BODY)
        await self._runner.setup()
        sock = socket.create_server((LOOPBACK, 0))
        self.port = sock.getsockname()[1]
        await web.SockSite(self._runner, sock).start()

    async def stop(self) -> None:
        await self._runner.cleanup()

    async def _echo(self, http: web.Request) -> web.Response:
        body = await http.read()
        self.bodies.append(body)
        return web.Response(body=body)

    async def _early(self, _: web.Request) -> web.Response:
        return web.Response(status=401)


@pytest.fixture
async def server() -> AsyncIterator[EchoServer]:
    server = EchoServer()
    await server.start()
    yield server
    await server.stop()


class Client:
    """A connection to a server."""

    def __init__(self, server: EchoServer) -> None:
        self._port = server.port

    async def connect(self) -> Client:
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self._port)
        return self

    async def send(self, data: bytes, cuts: list[int] | None = None) -> None:
        """Send bytes, as separate segments that end at some positions."""
        for start, end in itertools.pairwise([0, *(cuts or []), len(data)]):
            self.writer.write(data[start:end])
            await self.writer.drain()
            await asyncio.sleep(0.001)

    async def receive(self) -> tuple[int, bytes]:
        """Return the status and body of the next response."""
        async with asyncio.timeout(CONDITION_TIMEOUT):
            head = await self.reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            return int(head.split()[1]), await self.reader.readexactly(int(length))


def whole(body: bytes) -> bytes:
    """Return a request with a length."""
    return HEAD.format(name="x", framing=f"Content-Length: {len(body)}").encode() + body


def chunked(body: bytes, size: int, *, end: bytes = b"0\r\n\r\n") -> bytes:
    """Return a request in chunks."""
    chunks = [body[at : at + size] for at in range(0, len(body), size)]
    encoded = b"".join(b"%x\r\n%b\r\n" % (len(one), one) for one in chunks)
    head = HEAD.format(name="x", framing="Transfer-Encoding: chunked").encode()
    return head + encoded + end


BODIES = {
    "none": b"",
    "empty lines": b"\r\n\r\n" * 3_000,
    "like last chunks": b"\n0\r\n\r\n0\r\n" * 2_000,
    "random": random.Random(1).randbytes(200_000),
}


@pytest.mark.parametrize("name", BODIES)
@pytest.mark.parametrize("size", [0, 3, 1_000, 200_000])
async def test_bodies_arrive_unchanged_however_they_are_sent(
    server: EchoServer, name: str, size: int
) -> None:
    body = BODIES[name] if size != 3 else BODIES[name][:9_000]
    request = chunked(body, size) if size else whole(body)
    client = await Client(server).connect()
    rng = random.Random(size)
    cuts = sorted(rng.sample(range(1, len(request)), 8))
    for chosen in ([], cuts):
        await client.send(request, chosen)
        assert await client.receive() == (200, body)
    client.writer.close()


async def test_every_cut_of_two_requests_is_answered_in_order(
    server: EchoServer,
) -> None:
    client = await Client(server).connect()
    requests = chunked(b"first", 2, end=b"00;x=1\r\na: b\r\n\r\n") + whole(b"second")
    for cut in range(1, len(requests)):
        await client.send(requests, [cut])
        assert await client.receive() == (200, b"first")
        assert await client.receive() == (200, b"second")
    client.writer.close()


async def test_all_that_was_charged_is_returned(server: EchoServer) -> None:
    clients = [await Client(server).connect() for _ in range(5)]
    await clients[0].send(whole(bytes(100_000))[:-1])
    await clients[1].send(chunked(bytes(50_000), 10)[:-3])
    await clients[2].send(whole(b"x") * 30)
    await clients[3].send(b"POST / HTTP/1.1\r\n" + b"a: b\r\n" * 100)
    await clients[4].send(
        HEAD.format(name="early", framing="Content-Length: 9").encode()
    )
    await wait_until(_charged(server, 100_000), "the bytes are charged")
    for client in clients:
        client.writer.close()
    await wait_until(_is_empty(server), "all is returned")


def _charged(server: EchoServer, size: int) -> Condition:
    async def charged() -> bool:
        return server.account.held > size

    return charged


def _is_empty(server: EchoServer) -> Condition:
    async def is_empty() -> bool:
        return len(server.account) == server.account.held == 0

    return is_empty


async def test_a_request_that_is_shed_is_refused_and_does_not_run() -> None:
    server = EchoServer(max_bytes=600_000)
    await server.start()
    client = await Client(server).connect()
    await client.send(whole(bytes(250_000))[:-1])
    status, _ = await client.receive()
    assert (status, server.bodies) == (503, [])
    other = await Client(server).connect()
    await other.send(whole(b"small"))
    assert await other.receive() == (200, b"small")
    client.writer.close()
    other.writer.close()
    await wait_until(_is_empty(server), "all is returned")
    await server.stop()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (whole(bytes(MAX_BODY + 1)), 413),
        (chunked(bytes(MAX_BODY + 1), 1_000), 413),
        (chunked(b"abc", 3, end=b"no chunk\r\n\r\n"), 400),
        (chunked(b"abc", 3, end=b"0\r\n" + b"a:\r\n" * 20_000 + b"\r\n"), 400),
    ],
)
async def test_a_body_that_is_not_acceptable_is_refused(
    server: EchoServer, request_bytes: bytes, status: int
) -> None:
    client = await Client(server).connect()
    await client.send(request_bytes)
    assert (await client.receive())[0] == status
    assert server.bodies == []
    client.writer.close()


async def test_a_running_request_goes_on_when_bytes_behind_it_do_not_fit(
    server: EchoServer,
) -> None:
    client = await Client(server).connect()
    server.account.max_bytes = 2 * CONNECTION_PRICE
    await client.send(whole(b"x") + bytes(60_000))
    assert await client.receive() == (200, b"x")
    client.writer.close()


async def test_each_line_behind_a_body_is_charged_until_it_ends(
    server: EchoServer,
) -> None:
    client = await Client(server).connect()
    lines = 100
    await client.send(chunked(b"abc", 3, end=b"0\r\n" + b"a:\r\n" * lines))
    await wait_until(_charged(server, lines * LINE_PRICE), "the lines are charged")
    await client.send(b"\r\n")
    assert await client.receive() == (200, b"abc")
    client.writer.close()


async def test_one_read_is_parsed_in_turns(server: EchoServer) -> None:
    """Other connections are served between them, however many chunks it holds."""
    client = await Client(server).connect()
    await client.send(chunked(b"", 1, end=b""))
    await wait_until(_has_connection(server), "the connection is there")
    assert server._runner.server is not None
    (conn,) = server._runner.server.connections
    assert isinstance(conn, HeldConnection)
    conn.data_received(b"1\r\nx\r\n" * 20_000)
    assert 0 < len(conn._body) <= TURN_BYTES
    await client.send(b"0\r\n\r\n")
    assert await client.receive() == (200, b"x" * 20_000)
    client.writer.close()


def _has_connection(server: EchoServer) -> Condition:
    async def has_connection() -> bool:
        return server.account.held > CONNECTION_PRICE

    return has_connection


async def test_the_rest_of_a_body_is_ignored_behind_an_early_response(
    server: EchoServer,
) -> None:
    """Also pieces without data, while the library waits for some."""
    client = await Client(server).connect()
    head = HEAD.format(name="early", framing="Transfer-Encoding: chunked").encode()
    await client.send(head + b"3\r\nabc\r\n")
    assert (await client.receive())[0] == 401
    rest = b"3\r\nabc\r\n0\r\n\r\n"
    await client.send(rest + whole(b"next"), list(range(1, len(rest))))
    assert await client.receive() == (200, b"next")
    client.writer.close()


async def test_a_request_is_cancelled_when_its_caller_leaves() -> None:
    """The runner's option must reach the server that takes the connections."""
    cancelled = asyncio.Event()

    async def wait(_: web.Request) -> web.Response:
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            cancelled.set()
            raise
        return web.Response()

    app = web.Application()
    app.add_routes([web.post("/{_}", wait)])
    guard = PeerGuard(PeerLimits(), SystemClock(), Metrics())
    runner = HeldAppRunner(app, guard, max_body=MAX_BODY, handler_cancellation=True)
    await runner.setup()
    with socket.create_server((LOOPBACK, 0)) as sock:
        port = sock.getsockname()[1]
        await web.SockSite(runner, sock.dup()).start()
    _, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(whole(b"x"))
    await wait_until(_holds_more(guard), "the request runs")
    writer.close()
    async with asyncio.timeout(CONDITION_TIMEOUT):
        await cancelled.wait()
    await runner.cleanup()


def _holds_more(guard: PeerGuard) -> Condition:
    async def holds_more() -> bool:
        return guard._account.held > CONNECTION_PRICE

    return holds_more
