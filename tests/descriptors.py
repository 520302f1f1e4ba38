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

CANCELLED_CALLS = 40
"""Calls that are cancelled, half of them one iteration of the loop apart each."""
NEW_SOCKETS = 8
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

    async def cancel_once_connected(**kwargs: Any) -> socket.socket:
        # If the library connects a socket itself, the call is cancelled right then.
        sock = await start_connection(**kwargs)
        handed_over.append((sock, os.fstat(sock.fileno()).st_ino))
        asyncio.get_running_loop().call_soon(calls[-1].cancel)
        return sock

    monkeypatch.setattr(aiohappyeyeballs, "start_connection", cancel_once_connected)
    server = await asyncio.start_server(_never_answer, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    try:
        for iterations in range(CANCELLED_CALLS):
            calls.append(asyncio.ensure_future(call(port)))
            for _ in range(iterations % (CANCELLED_CALLS // 2)):
                await asyncio.sleep(0)
            if iterations >= CANCELLED_CALLS // 2:
                calls[-1].cancel()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await asyncio.wait(calls)
            calls[-1].cancel()
            await asyncio.wait(calls)
            calls.clear()
            others = [socket.socket() for _ in range(NEW_SOCKETS)]
            await asyncio.sleep(0.001)
            for new_socket in others:
                os.fstat(new_socket.fileno())
                new_socket.close()
        reused = [_was_closed(sock, inode) for sock, inode in handed_over]
        assert not any(reused)
    finally:
        server.close()


async def _never_answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(ConnectionError):
        await reader.read()


def _was_closed(sock: socket.socket, inode: int) -> bool:
    """Return whether a descriptor was closed although its socket is still open.

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
