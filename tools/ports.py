"""Free ports of the loopback address."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"
"""Address that all processes of a fleet listen on."""


class PortPool:
    """Reserves ports that the system chose, by sockets bound to them."""

    def __init__(self) -> None:
        self._sockets: dict[int, socket.socket] = {}

    def reserve(self) -> int:
        """Return a free port that no other process can get before `release`."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        self._sockets[port] = sock
        return port

    def release(self, port: int) -> None:
        """Close the socket of a reserved port, so that a process can bind it."""
        sock = self._sockets.pop(port, None)
        if sock is not None:
            sock.close()
