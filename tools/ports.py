"""Ports of loopback that the system hands out."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"


class PortPool:
    """Hands out ports that the system reserved; each is used once."""

    def __init__(self) -> None:
        self._held: dict[int, socket.socket] = {}

    def reserve(self) -> int:
        """Return a port that nobody else gets before `release`."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        self._held[port] = sock
        return port

    def release(self, port: int) -> None:
        """Free a port for the process that is to bind it."""
        sock = self._held.pop(port, None)
        if sock is not None:
            sock.close()
