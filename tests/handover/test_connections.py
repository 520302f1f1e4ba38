"""Connections that one entry hands over to another, over a real link."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast

import pytest

from leadseam.clock import SystemClock
from leadseam.handover.receiver import WINDOW, HandOverReceiver
from leadseam.handover.sender import FirstRequest, HandOverSender
from leadseam.handover.targets import HandOver, HandOverTargets
from leadseam.peers.limits import PeerLimits
from leadseam.platform.refusal import encode_refusal
from leadseam.runtime.metrics import Metrics
from leadseam.runtime.peer_guard import PeerGuard
from leadseam.runtime.sockets import abort_response
from leadseam.wire.feed import RoomOffer
from leadseam.wire.link import listen
from tools.ports import LOOPBACK
from tools.waiting import CONDITION_TIMEOUT, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from websockets.asyncio.server import Server

REQUEST = b"POST / HTTP/1.1\r\n\r\n"
BODY_REST = b"rest of the body"
RESPONSE = b"HTTP/1.1 200 OK\r\n\r\nwhole"


async def wait_for(
    condition: Callable[[], bool], what: str, *, timeout: float = CONDITION_TIMEOUT
) -> None:
    """Wait until a condition of this process holds."""

    async def holds() -> bool:
        return condition()

    await wait_until(holds, what, timeout=timeout)


class Serving(asyncio.Protocol):
    """A connection at the entry that serves it."""

    def __init__(self) -> None:
        self.received = b""
        self.is_lost = False
        self.is_paused = False
        self.transport = cast("asyncio.Transport", None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Keep what arrives."""
        self.received += data

    def connection_lost(self, exc: Exception | None) -> None:
        """Record that the caller has left."""
        self.is_lost = True

    def pause_writing(self) -> None:
        """Record that the caller reads slowly."""
        self.is_paused = True

    def resume_writing(self) -> None:
        """Record that the caller has read."""
        self.is_paused = False


class Accepting(asyncio.Protocol):
    """A connection at the busy entry, which hands it over with its first bytes."""

    def __init__(self, entries: Entries) -> None:
        self._entries = entries
        self._transport = cast("asyncio.Transport", None)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def data_received(self, data: bytes) -> None:
        """Hand the connection over."""
        entries = self._entries
        holding = entries.guard.open(entries, "", 1)
        decision = entries.choose()
        assert holding is not None
        assert decision is not None
        assert entries.sender.hand_over(
            decision,
            self._transport,
            holding,
            FirstRequest(data, len(BODY_REST), entries.max_wait),
        )


@dataclass
class Entries:
    """A busy entry, and one with room.

    Args:
        guard: Account of the busy entry.
        targets: Targets of the busy entry.
        sender: Its links.
        served: Connections at the other entry.
        accepts: Whether the other entry takes connections over.
        max_wait: Time that callers state, in milliseconds.
    """

    guard: PeerGuard
    targets: HandOverTargets
    sender: HandOverSender
    receiver: HandOverReceiver = field(init=False)
    links: Server = field(init=False)
    front: asyncio.Server = field(init=False)
    served: list[Serving] = field(default_factory=list)
    accepts: bool = True
    max_wait: int | None = None

    def choose(self) -> HandOver | None:
        """Choose the other entry, which has room."""
        port = next(iter(self.links.sockets)).getsockname()[1]
        now = SystemClock().now()
        self.targets.apply([RoomOffer("a", f"{LOOPBACK}:{port}", 300)], now)
        return self.targets.choose(now)

    def shed(self, _: object) -> None:
        """Nothing is shed here."""

    def serve(self) -> Serving:
        """Return the protocol of a connection that is taken over."""
        self.served.append(Serving())
        return self.served[-1]

    def ended_on_an_open_link(self, serving: Serving) -> bool:
        """Return whether a request has ended; the link is kept open meanwhile."""
        return self.choose() is not None and serving.is_lost

    async def call(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send a request."""
        port = self.front.sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection(LOOPBACK, port)
        writer.write(REQUEST)
        return reader, writer

    async def call_served(
        self,
    ) -> tuple[Serving, asyncio.StreamReader, asyncio.StreamWriter]:
        """Send a request, and wait until the other entry has it."""
        reader, writer = await self.call()
        await wait_for(
            lambda: bool(self.served and self.served[-1].received == REQUEST),
            "the request is handed over",
        )
        return self.served[-1], reader, writer


@pytest.fixture
async def entries() -> AsyncIterator[Entries]:
    """Two entries with a link."""
    metrics, clock = Metrics(), SystemClock()
    guard = PeerGuard(PeerLimits(), clock, metrics)
    targets = HandOverTargets("a", "own")
    sender = HandOverSender(
        targets, guard=guard, clock=clock, metrics=metrics, encode=encode_refusal
    )
    entries = Entries(guard, targets, sender)
    entries.receiver = HandOverReceiver(
        entries.serve, lambda: entries.accepts, Metrics()
    )
    entries.links = await listen(LOOPBACK, 0, entries.receiver.serve, metrics.traffic)
    loop = asyncio.get_running_loop()
    entries.front = await loop.create_server(lambda: Accepting(entries), LOOPBACK, 0)
    task = asyncio.create_task(sender.run())

    await wait_for(lambda: entries.choose() is not None, "the link is open")
    yield entries
    task.cancel()
    entries.front.close()
    entries.links.close()


async def test_a_response_of_another_entry_reaches_the_caller(entries: Entries) -> None:
    serving, reader, writer = await entries.call_served()
    writer.write(BODY_REST + b"bytes behind the request")
    await wait_for(lambda: serving.received.endswith(b"body"), "the body is there")
    assert serving.received == REQUEST + BODY_REST
    serving.transport.write(RESPONSE)
    serving.transport.close()
    assert await reader.read() == RESPONSE
    await wait_for(lambda: not entries.sender.handed, "the connection has ended")
    await wait_for(lambda: serving.is_lost, "the protocol is told")


async def test_a_response_reaches_the_caller_although_its_entry_stops_behind_it(
    entries: Entries,
) -> None:
    serving, reader, _ = await entries.call_served()
    serving.transport.write(RESPONSE)
    serving.transport.close()
    await entries.receiver.close()
    assert await reader.read() == RESPONSE


async def test_a_caller_that_leaves_ends_its_request_at_the_other_entry(
    entries: Entries,
) -> None:
    serving, _, writer = await entries.call_served()
    writer.close()
    await wait_for(
        lambda: entries.ended_on_an_open_link(serving), "the request is cancelled"
    )
    assert entries.sender.handed == 0


async def test_a_request_that_is_not_taken_over_has_not_run(entries: Entries) -> None:
    entries.accepts = False
    reader, _ = await entries.call()
    response = await reader.read()
    assert response.startswith(b"HTTP/1.1 503 ")
    error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
    assert (error["code"], error["outcome"]) == ("entry_busy", "not_run")
    assert entries.served == []


async def test_it_is_unknown_whether_a_request_has_run_whose_link_is_lost(
    entries: Entries,
) -> None:
    _, reader, _ = await entries.call_served()
    for conn in list(entries.links.connections):
        conn.transport.abort()
    response = await reader.read()
    assert response.startswith(b"HTTP/1.1 502 ")
    error = json.loads(response.partition(b"\r\n\r\n")[2])["error"]
    assert (error["code"], error["outcome"]) == ("link_lost", "unknown")


async def test_a_response_that_has_begun_is_reset_with_its_link(
    entries: Entries,
) -> None:
    serving, reader, _ = await entries.call_served()
    serving.transport.write(RESPONSE)
    await reader.readexactly(len(RESPONSE))
    for conn in list(entries.links.connections):
        conn.transport.abort()
    with pytest.raises(ConnectionResetError):
        await reader.read()
    await wait_for(lambda: serving.is_lost, "the request is cancelled")


@pytest.mark.parametrize("chunked", [True, False])
async def test_a_broken_off_response_is_broken_off_for_the_caller(
    entries: Entries, chunked: bool
) -> None:
    serving, reader, _ = await entries.call_served()
    serving.transport.write(RESPONSE)
    assert await reader.readexactly(len(RESPONSE)) == RESPONSE
    abort_response(serving.transport, chunked=chunked)
    if chunked:
        assert await reader.read() == b""
    else:
        with pytest.raises(ConnectionResetError):
            await reader.read()


async def test_a_caller_that_reads_slowly_holds_the_other_entry_up(
    entries: Entries,
) -> None:
    serving, reader, _ = await entries.call_served()
    sent = 0
    while not serving.is_paused or sent < 100 * WINDOW:
        if serving.is_paused:
            # The sockets between still take some.
            try:
                await wait_for(
                    lambda: not serving.is_paused, "there is credit", timeout=0.5
                )
            except AssertionError:
                break
        serving.transport.write(b"x" * 8_192)
        sent += 8_192
        await asyncio.sleep(0)
    assert serving.is_paused
    assert serving.transport.get_write_buffer_size() <= WINDOW + 8_192
    await reader.readexactly(sent)
    await wait_for(lambda: not serving.is_paused, "the caller has read")


async def test_a_request_without_a_response_is_given_up_after_its_deadline(
    entries: Entries,
) -> None:
    entries.max_wait = 1
    serving, reader, _ = await entries.call_served()
    response = await reader.read()
    assert response.startswith(b"HTTP/1.1 504 ")
    await wait_for(
        lambda: entries.ended_on_an_open_link(serving), "the request is cancelled"
    )
