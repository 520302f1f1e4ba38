"""Answers over broken connections must not pass for complete ones."""

from __future__ import annotations

import asyncio
import functools
import socket
import struct
import threading
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import pytest
import uvloop

from leadseam.clock import SystemClock
from leadseam.routing.client import UpstreamClient
from tests.descriptors import assert_no_double_close
from tools.ports import LOOPBACK
from tools.waiting import CONDITION_TIMEOUT, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

    from leadseam.runtime.upstream_connection import UpstreamConnection

    Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n"


@asynccontextmanager
async def upstream(script: Script) -> AsyncIterator[int]:
    """Run a server that handles connections with a script; yields its port."""
    server = await asyncio.start_server(script, LOOPBACK, 0)
    try:
        yield server.sockets[0].getsockname()[1]
    finally:
        server.close()


@asynccontextmanager
async def client() -> AsyncIterator[UpstreamClient]:
    """Open a client, and close it in the end."""
    client = UpstreamClient(SystemClock())
    try:
        yield client
    finally:
        await client.close()


async def send(
    client: UpstreamClient, port: int, target: str = "/x"
) -> aiohttp.ClientResponse:
    """Send a repeatable request."""
    return await client.send(
        LOOPBACK,
        port,
        method="GET",
        target=target,
        headers=[],
        body=b"",
        repeatable=True,
    )


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def test_a_reset_of_an_answer_without_length_is_an_error() -> None:
    may_reset = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % b"1" + b"\r\nhalf")
        await may_reset.wait()
        reset(writer)

    async with upstream(script) as port, client() as opened:
        resp = await send(opened, port)
        assert await resp.content.readany() == b"half"
        may_reset.set()
        with pytest.raises(aiohttp.ClientError):
            await resp.content.readany()


async def test_a_reset_before_the_body_is_read_is_an_error() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % b"1" + b"\r\nhalf")
        await writer.drain()
        reset(writer)

    async with upstream(script) as port, client() as opened:
        with pytest.raises((aiohttp.ClientError, OSError)):
            resp = await send(opened, port)
            await resp.read()


async def test_last_bytes_and_a_reset_in_one_poll_are_an_error() -> None:
    listener = socket.create_server((LOOPBACK, 0))
    head_read = threading.Event()
    was_reset = threading.Event()

    def serve() -> None:
        conn, _ = listener.accept()
        conn.recv(65_536)
        conn.sendall(HEAD % b"1" + b"\r\nfirst")
        head_read.wait()
        conn.sendall(b"second")
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        conn.close()
        was_reset.set()

    thread = threading.Thread(target=serve)
    thread.start()
    async with client() as opened:
        resp = await send(opened, listener.getsockname()[1])
        assert await resp.content.readany() == b"first"
        head_read.set()
        # Blocks the event loop, so that its next poll finds both at once.
        was_reset.wait()
        with pytest.raises(aiohttp.ClientError):
            while await resp.content.readany():
                pass
    thread.join()
    listener.close()


async def test_an_answer_without_length_ends_with_its_connection() -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % b"1" + b"\r\nwhole")
        writer.close()

    async with upstream(script) as port, client() as opened:
        resp = await send(opened, port)
        assert await resp.read() == b"whole"


@pytest.mark.parametrize("use_uvloop", [False, True])
def test_an_answer_that_this_box_drops_is_an_error(use_uvloop: bool) -> None:
    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % b"1" + b"\r\nhalf")
        await reader.read()
        writer.close()

    async def drop() -> None:
        async with upstream(script) as port, client() as opened:
            resp = await send(opened, port)
            assert await resp.content.readany() == b"half"
            await opened.close()
            with pytest.raises(aiohttp.ClientPayloadError):
                await resp.content.readany()

    factory = uvloop.new_event_loop if use_uvloop else asyncio.new_event_loop
    with asyncio.Runner(loop_factory=factory) as runner:
        runner.run(drop())


async def test_a_surplus_answer_is_not_taken_for_the_next_one() -> None:
    answers = iter([b"1", b"2", b"3"])
    connections: list[asyncio.StreamWriter] = []
    surplus_sent = asyncio.Event()
    first_closed = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connections.append(writer)
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            whole = HEAD + b"Content-Length: 2\r\n\r\nok"
            writer.write(whole % next(answers))
            if len(connections) == 1:
                await surplus_sent.wait()
                writer.write(whole % b"surplus")
        first_closed.set()

    async with upstream(script) as port, client() as opened:
        resp = await send(opened, port)
        assert (resp.headers["X-Id"], await resp.read()) == ("1", b"ok")
        surplus_sent.set()
        await first_closed.wait()
        resp = await send(opened, port)
        assert (resp.headers["X-Id"], await resp.read()) == ("2", b"ok")
        assert len(connections) == 2


async def test_a_kept_connection_serves_the_next_request() -> None:
    connections = 0

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        while await reader.readline():
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD % b"1" + b"Content-Length: 2\r\n\r\nok")

    async with upstream(script) as port, client() as opened:
        for _ in range(3):
            resp = await send(opened, port)
            assert await resp.read() == b"ok"
    assert connections == 1


async def test_a_connect_that_is_given_up_closes_no_descriptor_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The second close could hit a descriptor that another connection reuses."""
    async with client() as opened:
        await assert_no_double_close(functools.partial(send, opened), monkeypatch)


async def test_keepalive_probes_are_enabled_on_connections() -> None:
    async def hold(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % b"1" + b"Content-Length: 9\r\n\r\nhalf")
        await reader.read()
        writer.close()

    async with upstream(hold) as port, client() as opened:
        resp = await send(opened, port)
        conn = resp.connection
        assert conn is not None and conn.transport is not None
        sock = conn.transport.get_extra_info("socket")
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE) == 1
        times = [
            sock.getsockopt(socket.IPPROTO_TCP, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_USER_TIMEOUT,
            )
        ]
        assert times == [1, 1, 3_000]
        resp.close()


async def test_a_kept_connection_that_its_peer_closes_is_reported() -> None:
    may_close = asyncio.Event()
    lost = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % b"1" + b"Content-Length: 2\r\n\r\nok")
        await may_close.wait()
        writer.close()

    def may_send(conn: UpstreamConnection) -> bool:
        conn.on_idle_lost = lambda _: lost.set()
        return True

    async with upstream(script) as port, client() as opened:
        resp = await opened.send(
            LOOPBACK,
            port,
            method="GET",
            target="/x",
            headers=[],
            body=b"",
            repeatable=True,
            may_send=may_send,
        )
        assert await resp.read() == b"ok"
        assert not lost.is_set()
        may_close.set()
        async with asyncio.timeout(CONDITION_TIMEOUT):
            await lost.wait()


async def test_a_spare_connection_is_opened_only_while_none_is_idle() -> None:
    requests: list[int] = []
    opened: list[int] = []
    may_end = asyncio.Event()

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = len(opened)
        opened.append(number)
        while await reader.read(4_096):
            requests.append(number)
            writer.write(HEAD % b"1" + b"Content-Length: 2\r\n\r\nx")
            await may_end.wait()
            writer.write(b"y")
        writer.close()

    async def two_are_open() -> bool:
        return len(opened) == 2

    async with upstream(script) as port, client() as sender:
        resp = await send(sender, port)
        for _ in range(3):
            await sender.keep_spare(LOOPBACK, port)
        await wait_until(two_are_open, "a spare is open")
        assert (opened, requests) == ([0, 1], [0])
        other = await send(sender, port)
        may_end.set()
        assert [await resp.read(), await other.read()] == [b"xy", b"xy"]
        await sender.keep_spare(LOOPBACK, port)
        assert (opened, requests) == ([0, 1], [0, 1])


async def test_an_upstream_that_refuses_a_spare_connection_raises_no_error() -> None:
    with socket.socket() as unused:
        unused.bind((LOOPBACK, 0))
        async with client() as sender:
            await sender.keep_spare(LOOPBACK, unused.getsockname()[1])


@pytest.mark.parametrize(
    "target", ["/a/?", "/a/?x=", "/a?x=1#y", "/a//b/../c?x=%zz", "/%2F/%C3%A9?%3F"]
)
async def test_a_target_arrives_as_it_was_sent(target: str) -> None:
    lines: list[bytes] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        lines.append(await reader.readuntil(b"\r\n"))
        writer.write(HEAD % b"1" + b"Content-Length: 0\r\n\r\n")

    async with upstream(script) as port, client() as sender:
        await (await send(sender, port, target)).read()
    assert lines == [f"GET {target} HTTP/1.1\r\n".encode()]


async def test_an_upstream_that_closes_its_port_last_is_not_taken_for_running() -> None:
    """A crash that is not seen is no evidence against the request that caused it."""
    with socket.create_server((LOOPBACK, 0)) as listener:
        port = listener.getsockname()[1]
        # The answers have ended; the kernel has yet to close the port.
        asyncio.get_running_loop().call_later(0.06, listener.close)
        async with client() as upstreams:
            assert await upstreams.is_refused(LOOPBACK, port)
