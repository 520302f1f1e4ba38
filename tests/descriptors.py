"""Checks that cancelled connects release their file descriptors only once."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from typing import TYPE_CHECKING, Any

import aiohappyeyeballs

from tools.ports import LOOPBACK

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import pytest

    Call = Callable[[int], Awaitable[object]]

GIVE_UPS = 40
"""Calls that are cancelled, half of them one iteration of the loop apart each."""
OTHERS = 8
"""Sockets that reuse the descriptor numbers which were just released."""


async def assert_no_double_close(call: Call, monkeypatch: pytest.MonkeyPatch) -> None:
    """Check that no descriptor is closed twice when calls are cancelled in a connect.

    Args:
        call: Calls the HTTP server at a port of the loopback address.
        monkeypatch: Cancels the call where the library hands over a socket.
    """
    calls: list[asyncio.Task[object]] = []
    handed_over: list[tuple[socket.socket, int]] = []
    start_connection = aiohappyeyeballs.start_connection

    async def give_up_once_connected(**kwargs: Any) -> socket.socket:
        # If the library connects a socket itself, the call is cancelled right then.
        sock = await start_connection(**kwargs)
        handed_over.append((sock, os.fstat(sock.fileno()).st_ino))
        asyncio.get_running_loop().call_soon(calls[-1].cancel)
        return sock

    monkeypatch.setattr(aiohappyeyeballs, "start_connection", give_up_once_connected)
    server = await asyncio.start_server(_say_nothing, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        for turns in range(GIVE_UPS):
            calls.append(asyncio.ensure_future(call(port)))
            for _ in range(turns % (GIVE_UPS // 2)):
                await asyncio.sleep(0)
            if turns >= GIVE_UPS // 2:
                calls[-1].cancel()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await asyncio.wait(calls)
            calls[-1].cancel()
            await asyncio.wait(calls)
            calls.clear()
            others = [socket.socket() for _ in range(OTHERS)]
            await asyncio.sleep(0.001)
            for other in others:
                os.fstat(other.fileno())
                other.close()
        gone = [_is_gone(sock, inode) for sock, inode in handed_over]
        assert not any(gone)
    finally:
        server.close()


async def _say_nothing(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError):
        await reader.read()


def _is_gone(sock: socket.socket, inode: int) -> bool:
    """Return whether a socket's descriptor was closed behind its back.

    The socket would close the number again, which may belong to another socket by then.
    """
    fd = sock.fileno()
    if fd < 0:
        return False
    with contextlib.suppress(OSError):
        if os.fstat(fd).st_ino == inode:
            return False
    sock.detach()
    return True
