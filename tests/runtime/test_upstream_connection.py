"""Answers reach their requests however their bytes are split into reads."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

import pytest

from leadseam.runtime.upstream_connection import UpstreamConnection

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond"


def open_connection() -> tuple[UpstreamConnection, list[str]]:
    """Return an open connection, and the calls by which it is ended."""
    calls: list[str] = []
    transport = SimpleNamespace(
        close=lambda: calls.append("close"),
        abort=lambda: calls.append("abort"),
        is_closing=lambda: bool(calls),
        get_extra_info=lambda _: None,
        resume_reading=lambda: None,
        pause_reading=lambda: None,
    )
    conn = UpstreamConnection(asyncio.get_running_loop())
    conn.connection_made(cast("Any", transport))
    return conn, calls


async def test_an_interim_answer_in_a_read_of_its_own_keeps_the_connection() -> None:
    conn, calls = open_connection()
    conn.set_response_params(read_until_eof=True, auto_decompress=False)
    conn.data_received(HINTS)
    conn.data_received(ANSWER)
    assert not calls


@pytest.mark.parametrize("surplus", [SECOND, HINTS + SECOND, SECOND + SECOND])
async def test_an_answer_in_one_read_with_the_end_of_another_answers_no_request(
    surplus: bytes,
) -> None:
    """The connection is returned to the pool inside the read, with nothing on it."""
    conn, calls = open_connection()
    conn.set_response_params(read_until_eof=True, auto_decompress=False)
    conn.data_received(ANSWER[:-2])
    _, payload = await conn.read()
    conn.data_received(ANSWER[-2:] + surplus)
    assert await payload.read() == b"plain"
    assert calls
    conn.set_response_params(read_until_eof=True, auto_decompress=False)
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0):
            await conn.read()


async def test_an_answer_ahead_of_its_request_is_none() -> None:
    conn, calls = open_connection()
    conn.data_received(ANSWER)
    conn.set_response_params(read_until_eof=True, auto_decompress=False)
    assert calls == ["close"]
