"""Streams to callers that stop reading, and that go on at other upstreams."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.event_sequence import EventFormat
from leadseam.routing.attempt import Streaming
from leadseam.routing.reply import Reply


def events_after(last: str | None, end: int) -> bytes:
    """Return what an upstream sends that takes a stream up, up to an event."""
    numbers = range(int(last or 0) + 1, end + 1)
    return b"".join(b"id: %d\ndata: a\n\n" % number for number in numbers)


async def test_a_caller_that_stops_reading_gets_no_event_twice() -> None:
    """Each attempt ends while its write waits for the caller, as if it were silent."""
    received = bytearray()
    stalled = asyncio.Event()

    async def write(data: bytes) -> None:
        received.extend(data)
        stalled.set()
        await asyncio.Event().wait()

    reply = Reply(
        cast("Any", SimpleNamespace()),
        prepare=lambda _: None,
        now=lambda: 0,
        last_event=None,
        event_format=EventFormat(first=1),
    )
    reply._response = cast("Any", SimpleNamespace(write=write))
    for end in (2, 5, 6):
        stalled.clear()
        answer = cast("Any", SimpleNamespace(close=lambda: None))
        sent = events_after(reply.last_event, end)
        relaying = asyncio.create_task(
            reply.relay(Streaming(answer, (), sent), lambda: None)
        )
        await stalled.wait()
        relaying.cancel()
        with pytest.raises(asyncio.CancelledError):
            await relaying
        assert received == events_after(None, end)
    assert reply.last_event == "6"
