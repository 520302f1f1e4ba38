"""Early refusal of requests at a busy entry.

Guards against an overload in which refusals use up the processor time of an entry. Two
of 22 entries refused 26,000 requests as busy in 57 s, nearly all of one account each,
whose callers use a single entry. No time was left for requests that they could have
served: 0.1 M tokens a second were placed of 1 M requested. A refusal through the HTTP
library took 0.38 and 0.41 ms of processor time, an early one takes 0.20 and 0.21 ms
(4,000 connections a run, on a workstation).
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import TYPE_CHECKING

import pytest
from aiohttp import web

from leadseam.clock import SystemClock
from leadseam.outcome import NotRun, Reason
from leadseam.peers.limits import PeerLimits
from leadseam.platform.first_bytes import FirstHead, read_first_head
from leadseam.platform.front import FrontServer
from leadseam.routing.dialect import Sender
from leadseam.runtime.metrics import Metrics
from leadseam.runtime.peer_guard import PeerGuard
from leadseam.settings.models import Endpoint
from tools.ports import LOOPBACK, PortPool
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

HEAD = (
    b"POST /a/ HTTP/1.1\r\nhost: x\r\nAuthorization: Bearer k1\r\n"
    b"LEADSEAM-REQUEST-ID: r-1\r\nLeadseam-Token-Usage: 900,80\r\n"
    b"Leadseam-Prompt-Prefix: aa:200,bb:100,cc:600\r\n"
)
SENDER = Sender("r-1", "k1", tokens_in=900, tokens_out=80)


def head_of(*lines: bytes, body: bytes = b"") -> FirstHead | None:
    """Parse the common head with additional header lines."""
    return read_first_head(
        HEAD + b"".join(b"%b\r\n" % x for x in lines) + b"\r\n" + body
    )


def test_a_head_yields_sender_and_token_counts() -> None:
    assert head_of() == FirstHead(SENDER, 0)
    expected = FirstHead(replace(SENDER, body_size=12), 7)
    assert head_of(b"Content-Length: 12", body=b"12345") == expected


@pytest.mark.parametrize(
    "lines",
    [
        (b"Content-Length: 1", b"content-length: 2"),
        (b"Transfer-Encoding: chunked",),
        (b"Content-Length: 3", b"Transfer-Encoding: chunked"),
        (b"Content-Length: -1",),
        (b"Content-Length: +1",),
        (b"Content-Length: \xc2\xb2",),
        (b"Content-Length: " + b"9" * 19,),
        (b"Content-Length: " + b"9" * 5_000,),
        (b"Authorization: Bearer other",),
        (b"Expect: 100-continue",),
    ],
)
def test_unusual_heads_are_left_to_the_library(lines: tuple[bytes, ...]) -> None:
    assert head_of(*lines) is None


def test_incomplete_or_pipelined_requests_are_left_to_the_library() -> None:
    assert read_first_head(HEAD) is None
    # Pipelined: a second request follows the first.
    assert head_of(b"Content-Length: 1", body=b"1POST") is None


class RefusingServer:
    """A front server that refuses the key `k1` while it is busy."""

    def __init__(self) -> None:
        self.is_busy = True
        self.seen: list[Sender] = []
        self.served: list[bytes] = []
        self.guard = PeerGuard(PeerLimits(), SystemClock(), Metrics())
        self.front = FrontServer(self._handle, guard=self.guard, decide=self._refuse)
        ports = PortPool()
        self.port = ports.reserve()
        ports.release(self.port)

    def _refuse(self, sender: Sender) -> NotRun | None:
        self.seen.append(sender)
        if self.is_busy and sender.key == "k1":
            return NotRun(Reason.ENTRY_BUSY, 120)
        return None

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        self.served.append(await http.read())
        return web.Response(body=b"done")

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection."""
        return await asyncio.open_connection(LOOPBACK, self.port)


@pytest.fixture
async def server() -> AsyncIterator[RefusingServer]:
    """A running front server."""
    server = RefusingServer()
    await server.front.start(Endpoint(ip=LOOPBACK, port=server.port))
    try:
        yield server
    finally:
        await server.front.stop()


async def test_a_refusal_is_complete_and_closes_the_connection(
    server: RefusingServer,
) -> None:
    reader, writer = await server.connect()
    writer.write(HEAD + b"Content-Length: 6\r\n\r\nabc")
    await writer.drain()
    while not server.seen:
        await asyncio.sleep(0)
    # The body is drained first: otherwise a reset could overtake the response.
    assert len(server.front.connections) == 1
    writer.write(b"def")
    answer = await reader.read()
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 Service Unavailable\r\n")
    assert b"\r\nRetry-After: 0.120" in head
    assert b"\r\nConnection: close" in head
    assert json.loads(body)["error"]["code"] == "entry_busy"
    assert json.loads(body)["error"]["outcome"] == "not_run"
    assert f"Content-Length: {len(body)}".encode() in head
    assert server.served == []
    assert server.seen == [replace(SENDER, body_size=6)]
    assert server.front.connections == []
    writer.close()


async def test_an_accepted_request_is_served_with_its_whole_body(
    server: RefusingServer,
) -> None:
    server.is_busy = False
    reader, writer = await server.connect()
    writer.write(HEAD + b"Content-Length: 6\r\n\r\nabc")
    await writer.drain()
    while not server.seen:
        await asyncio.sleep(0)
    writer.write(b"def")
    await reader.readuntil(b"\r\n\r\n")
    assert await reader.readexactly(4) == b"done"
    # From here on the library handles the connection.

    writer.write(HEAD + b"\r\n")
    await reader.readuntil(b"\r\n\r\n")
    assert server.served == [b"abcdef", b""]
    assert len(server.seen) == 1
    writer.close()


async def test_a_head_in_pieces_is_served_by_the_library(
    server: RefusingServer,
) -> None:
    reader, writer = await server.connect()
    writer.write(HEAD)
    await writer.drain()
    while not any(not hasattr(c, "_waiting") for c in server.front.connections):
        await asyncio.sleep(0)
    writer.write(b"\r\n")
    await reader.readuntil(b"\r\n\r\n")
    assert server.served == [b""]
    writer.close()


async def test_a_connection_that_sends_nothing_is_known_by_its_address(
    server: RefusingServer,
) -> None:
    # A crowd of these was logged without an address when it was shed.
    _, writer = await server.connect()

    async def is_known() -> bool:
        return server.guard._account.largest()[0] == LOOPBACK

    await wait_until(is_known, "the account knows the address", timeout=5)
    writer.close()
