"""`may_send` is checked just before a request is written, on any connection."""

from __future__ import annotations

import asyncio

import pytest

from leadseam.clock import SystemClock
from leadseam.routing.client import UpstreamClient, WithheldError
from leadseam.runtime.upstream_connection import UpstreamConnection
from tools.ports import LOOPBACK


@pytest.mark.parametrize("repeatable", [True, False])
async def test_may_send_is_checked_after_the_connection_is_open(
    repeatable: bool,
) -> None:
    received: list[bytes] = []
    checks: list[bool] = []

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(4_096):
            received.append(data)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(script, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    client = UpstreamClient(SystemClock())

    async def send(*, allowed: bool) -> int:
        def may_send(_: UpstreamConnection) -> bool:
            checks.append(allowed)
            return allowed

        resp = await client.send(
            LOOPBACK,
            port,
            method="GET",
            target="/x",
            headers=[],
            body=b"",
            repeatable=repeatable,
            may_send=may_send,
        )
        await resp.read()
        return resp.status

    try:
        with pytest.raises(WithheldError):
            await send(allowed=False)
        assert await send(allowed=True) == 200
        with pytest.raises(WithheldError):
            await send(allowed=False)
    finally:
        await client.close()
        server.close()
    assert checks == [False, True, False]
    assert len(received) == 1
