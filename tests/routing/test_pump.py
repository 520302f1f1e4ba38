"""Forwarding of events between connections without waking a task."""

from __future__ import annotations

import asyncio
from typing import cast

import aiohttp
import pytest
from aiohttp.base_protocol import BaseProtocol
from aiohttp.client_proto import ResponseHandler
from aiohttp.streams import StreamReader

from leadseam.routing.pump import Pump
from leadseam.runtime.upstream_connection import UpstreamConnection


class PumpHarness:
    """A running pump whose two connections the test controls."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.conn = UpstreamConnection(loop)
        self.caller = BaseProtocol(loop)
        self.body = StreamReader(cast("ResponseHandler", self.conn), 2**16, loop=loop)
        self.received: list[bytes] = []
        pump = Pump(self.body, self.conn, self.caller, self.take)
        self.running = asyncio.create_task(pump.run())

    def take(self, data: bytes) -> None:
        """Record the forwarded bytes; reject `bad`."""
        if data == b"bad":
            raise ValueError("bad")
        self.received.append(data)

    def feed(self, data: bytes) -> None:
        """Deliver bytes to the body as the connection does."""
        self.body.feed_data(data)
        self.notify()

    def notify(self) -> None:
        """Tell the pump that something has come in."""
        assert self.conn.listener is not None
        self.conn.listener()


async def start_pump() -> PumpHarness:
    """Return a pump that has started to run."""
    pump = PumpHarness()
    while pump.conn.listener is None:
        await asyncio.sleep(0)
    return pump


async def test_bytes_are_forwarded_before_any_task_runs() -> None:
    pump = await start_pump()
    pump.feed(b"one")
    pump.feed(b"two")
    assert pump.received == [b"one", b"two"]
    assert not pump.running.done()
    pump.body.feed_eof()
    pump.notify()
    await pump.running
    assert pump.conn.listener is None


async def test_the_pump_stops_when_the_caller_does_not_keep_up() -> None:
    pump = await start_pump()
    pump.caller.pause_writing()
    pump.feed(b"one")
    await pump.running
    assert pump.received == [b"one"]
    assert not pump.body.at_eof()


async def test_a_broken_body_is_told_after_all_that_came_before() -> None:
    pump = await start_pump()
    pump.feed(b"one")
    pump.body.set_exception(aiohttp.ClientPayloadError("reset"))
    pump.notify()
    with pytest.raises(aiohttp.ClientPayloadError):
        await pump.running
    assert pump.received == [b"one"]


async def test_an_exception_of_the_receiver_is_raised_in_the_task() -> None:
    pump = await start_pump()
    pump.feed(b"bad")
    with pytest.raises(ValueError, match="bad"):
        await pump.running


async def test_nothing_is_heard_after_a_cancellation() -> None:
    pump = await start_pump()
    pump.running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await pump.running
    assert pump.conn.listener is None
