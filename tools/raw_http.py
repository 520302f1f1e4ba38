"""Sends bytes on a plain socket and tells how the connection ended."""

from __future__ import annotations

import asyncio
import socket

from tools.waiting import CONDITION_TIMEOUT


async def exchange(ip: str, port: int, request: bytes) -> tuple[bytes, bool]:
    """Send a request; return all that is received, and whether a reset ended it.

    A blocking socket is used, as the event loop reports a regular end if it finds the
    last bytes and a reset in one poll.
    """
    return await asyncio.to_thread(_exchange, ip, port, request)


def _exchange(ip: str, port: int, request: bytes) -> tuple[bytes, bool]:
    received = b""
    with socket.create_connection((ip, port), timeout=CONDITION_TIMEOUT) as sock:
        sock.sendall(request)
        try:
            while data := sock.recv(65_536):
                received += data
        except ConnectionResetError:
            return received, True
    return received, False
