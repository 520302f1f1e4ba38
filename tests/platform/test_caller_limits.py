"""The limits of the configuration on callers, at real sockets."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from tools.platform.nodes import HOST, KEY, document
from tools.waiting import CONDITION_TIMEOUT, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tools.platform.nodes import Platform

HEADER_BYTES = 16_000
BODY_BYTES = 30_000
HEADER_TIMEOUT = 1.5
IDLE_TIMEOUT = 3.0
LIMITS = {
    "maxHeaderBytes": HEADER_BYTES,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": HEADER_TIMEOUT * 1_000,
    "idleTimeoutMs": IDLE_TIMEOUT * 1_000,
}
BUSY_PAUSE = 0.2
"""Seconds before a request is sent again that a busy entry has refused."""
CHUNKED = "Transfer-Encoding: chunked"


class Caller:
    """A connection to an entry."""

    def __init__(self, platform: Platform) -> None:
        self._address = (platform.entry_ips[0], platform.front_port)

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(*self._address)
        self.opened_at = time.monotonic()

    async def send(self, *headers: str, body: bytes = b"") -> int:
        """Send a request and return the status of its response.

        A request that a busy entry refuses unread is sent again.
        """
        self.writer.write(head(*headers) + body)
        while (status := await self.read_status()) == 503:
            assert self.is_busy, "only a busy entry may refuse it"
            await asyncio.sleep(BUSY_PAUSE)
            await self.connect()
            self.writer.write(head(*headers) + body)
        return status

    async def read_status(self) -> int:
        """Read a response, if it has a length, and return its status."""
        async with asyncio.timeout(CONDITION_TIMEOUT):
            lines = (await self.reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
            length = next(one for one in lines if one.startswith(b"content-length:"))
            body = await self.reader.readexactly(int(length.split()[1]))
        self.is_busy = b'"entry_busy"' in body
        self.is_unconfirmed = b'"no_configuration"' in body
        return int(lines[0].split()[1])

    async def wait_closed(self) -> float:
        """Wait until the entry closes the connection; return its age in seconds."""
        async with asyncio.timeout(CONDITION_TIMEOUT):
            while await self.reader.read(65_536):
                pass
        return time.monotonic() - self.opened_at


def head(*headers: str) -> bytes:
    """Return the head of a request."""
    lines = [
        "POST /once/limits HTTP/1.1",
        f"Host: {HOST}",
        f"{names.REQUEST_ID}: limits-{time.monotonic_ns()}",
        f"{names.AUTHORIZATION}: {names.BEARER}{KEY}",
        f"{names.DEADLINE}: 5000",
        *headers,
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def chunk(size: int) -> bytes:
    """Return an encoded chunk of a body."""
    return b"%x\r\n%b\r\n" % (size, b"x" * size)


@pytest.fixture
async def callers(platform: Platform) -> AsyncIterator[list[Caller]]:
    """Connections of callers; the first is from before the limits are in force."""
    callers = [Caller(platform) for _ in range(2)]
    await callers[0].connect()
    assert await callers[0].send("Content-Length: 0") == 200
    assert await platform.operator.replace(document(2, limits=LIMITS)) == 200

    async def in_force() -> bool:
        caller = Caller(platform)
        await caller.connect()
        body = b"x" * (BODY_BYTES + 1)
        status = await caller.send(f"Content-Length: {len(body)}", body=body)
        caller.writer.close()
        return status == 413

    await wait_until(in_force, "the limits are in force")
    await callers[1].connect()
    yield callers
    for caller in callers:
        caller.writer.close()


def runs(platform: Platform) -> int:
    """Return the number of requests that servers ran on the route of the tests."""
    servers = platform.servers_of("plain")
    return sum(run.target == "/once/limits" for one in servers for run in one.runs)


async def test_bodies_above_the_limit_are_refused_before_they_are_run_or_read(
    platform: Platform, callers: list[Caller]
) -> None:
    """A body that is announced need not be sent, and one of chunks never ends."""
    before = runs(platform)
    old, new = callers
    whole = chunk(BODY_BYTES) + b"0\r\n\r\n"
    assert await new.send(CHUNKED, body=whole) == 200
    assert await new.send(CHUNKED, body=chunk(BODY_BYTES) + chunk(1)) == 413
    assert await old.send(f"Content-Length: {BODY_BYTES + 1}") == 413
    assert runs(platform) == before + 1


async def test_a_caller_without_a_key_is_refused_before_its_body_comes(
    callers: list[Caller],
) -> None:
    for caller in callers:
        anonymous = head("Content-Length: 9").replace(KEY.encode(), b"nobody")
        caller.writer.write(anonymous)
        status = await caller.read_status()
        while status == 503 and caller.is_unconfirmed:
            # No heartbeat of the feed has come for two seconds: the key may be new.
            caller.writer.close()
            await caller.connect()
            caller.writer.write(anonymous)
            status = await caller.read_status()
        assert status == 401


async def test_a_body_that_stops_is_refused_after_the_idle_time(
    callers: list[Caller],
) -> None:
    """The deadline that a caller states may be far off."""
    caller = callers[0]
    far = head("Content-Length: 9").replace(b": 5000", b": 900000")
    caller.writer.write(far + b"1234")
    assert await caller.read_status() == 408
    await caller.wait_closed()


@pytest.mark.parametrize("size", [HEADER_BYTES // 4, HEADER_BYTES, 100_000])
@pytest.mark.parametrize("lines", [1, 10])
async def test_heads_above_the_limit_are_refused(
    callers: list[Caller], lines: int, size: int
) -> None:
    """They are neither passed on nor taken for malformed requests."""
    name = "X-Large"
    headers = [f"{name}-{number}: {'x' * (size // lines)}" for number in range(lines)]
    expected = 200 if size < HEADER_BYTES else 431
    for caller in callers:
        assert await caller.send(*headers, "Content-Length: 0") == expected


async def test_a_head_that_does_not_end_is_refused_after_its_time(
    callers: list[Caller],
) -> None:
    for caller in callers:
        caller.writer.write(head()[:40])
    began = time.monotonic()
    statuses = await asyncio.gather(*(caller.read_status() for caller in callers))
    assert statuses == [408, 408]
    assert time.monotonic() - began >= HEADER_TIMEOUT - 0.1
    for caller in callers:
        await caller.wait_closed()


async def test_idle_connections_are_closed_after_their_time_and_not_before(
    callers: list[Caller],
) -> None:
    """Callers may send on a connection that was idle for most of that time."""
    ages = [caller.wait_closed() for caller in callers]
    assert min(await asyncio.gather(*ages)) >= IDLE_TIMEOUT - 0.1
