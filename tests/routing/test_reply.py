"""Responses to callers."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.routing.attempt import Streaming
from leadseam.routing.reply import CallerGoneError, Reply


async def test_a_caller_that_leaves_before_the_last_chunk_is_reported_as_gone() -> None:
    async def write_eof() -> None:
        raise ConnectionResetError("closing")

    reply = Reply(
        cast("Any", SimpleNamespace()),
        prepare=lambda _: None,
        now=lambda: 0,
        last_event=None,
    )
    reply._response = cast("Any", SimpleNamespace(write_eof=write_eof))
    with pytest.raises(CallerGoneError):
        await reply.end(cast("Any", SimpleNamespace()))


async def test_an_event_counts_as_sent_while_its_write_waits_for_the_caller() -> None:
    """An attempt that ends in that wait goes on elsewhere behind this event."""
    waiting = asyncio.Event()

    async def write(_: bytes) -> None:
        waiting.set()
        await asyncio.Event().wait()

    reply = Reply(
        cast("Any", SimpleNamespace()),
        prepare=lambda _: None,
        now=lambda: 0,
        last_event=None,
    )
    reply._response = cast("Any", SimpleNamespace(write=write))
    answer = SimpleNamespace(close=lambda: None)
    buffered = b"id: 1\ndata: one\n\n"
    streaming = Streaming(cast("Any", answer), (), buffered)
    relaying = asyncio.create_task(reply.relay(streaming, lambda: None))
    await waiting.wait()
    relaying.cancel()
    with pytest.raises(asyncio.CancelledError):
        await relaying
    assert reply.last_event == "1"


@pytest.mark.parametrize("body", [b"data: one\n\n", b"id: 1\ndata: one\n\n"])
async def test_a_stream_without_due_numbers_may_ignore_the_callers_last_event(
    monkeypatch: pytest.MonkeyPatch, body: bytes
) -> None:
    written = []

    async def done(_: object = None) -> None: ...

    async def write(data: bytes) -> None:
        written.append(data)

    async def start(_: object) -> SimpleNamespace:
        return SimpleNamespace(write=write)

    async def readany() -> bytes:
        return b""

    http = SimpleNamespace(protocol=SimpleNamespace(_drain_helper=done))
    reply = Reply(
        cast("Any", http), prepare=lambda _: None, now=lambda: 0, last_event="7"
    )
    monkeypatch.setattr(reply, "_start", start)
    answer = SimpleNamespace(
        close=lambda: None,
        content=SimpleNamespace(readany=readany),
        method="GET",
        status=200,
        headers={"Content-Length": "1"},
    )
    streaming = Streaming(cast("Any", answer), (), body)
    assert isinstance(await reply.relay(streaming, lambda: None), Streaming)
    assert written == [body]
