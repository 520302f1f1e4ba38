"""Answers reach their requests however their bytes are split into reads."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any, cast

from leadseam.runtime.upstream_connection import UpstreamConnection

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nplain"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"


async def test_an_interim_answer_in_a_read_of_its_own_keeps_the_connection() -> None:
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
    conn.set_response_params(read_until_eof=True, auto_decompress=False)
    conn.data_received(HINTS)
    conn.data_received(ANSWER)
    assert not calls
