"""Free ports of loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

LOOPBACK = "127.0.0.1"
"""Address that all processes of a fleet listen on."""


async def is_refused(ip: str, port: int) -> bool:
    """Try one connection to an address, and return whether it is refused."""
    try:
        _, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return True
    writer.close()
    return False


class PortPool:
    """Reserves ports that the system chose, by sockets bound to them.

    The sockets do not listen, so that a process that sets `SO_REUSEADDR` can use a port
    while it is reserved.
    """

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
        """Close the socket of a reserved port, so that any process can bind it."""
        sock = self._sockets.pop(port, None)
        if sock is not None:
            sock.close()

    def close(self) -> None:
        """Release all ports."""
        for port in list(self._sockets):
            self.release(port)


class ReservedPorts:
    """Ports of several addresses that are reserved until `close`.

    They are reserved by sockets of the first address that do not listen, so that a
    process that sets `SO_REUSEADDR` can use them meanwhile.
    """

    def __init__(self) -> None:
        self._sockets = contextlib.ExitStack()

    def reserve(self, ips: Sequence[str], *, count: int = 1) -> int:
        """Return the first of consecutive ports that are free on all addresses.

        Args:
            ips: Addresses; whoever reserves ports of any of them names the same first.
            count: Number of ports.
        """
        while True:
            with contextlib.ExitStack() as stack:
                sock = stack.enter_context(socket.socket())
                sock.bind((ips[0], 0))
                port: int = sock.getsockname()[1]
                sockets = [sock]
                try:
                    for number in range(port + 1, port + count):
                        sockets.append(_bind(stack, ips[0], number))
                    with contextlib.ExitStack() as checked:
                        for ip in ips[1:]:
                            for number in range(port, port + count):
                                _bind(checked, ip, number)
                except (OSError, OverflowError):
                    continue
                for sock in sockets:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                self._sockets.enter_context(stack.pop_all())
                return port

    def close(self) -> None:
        """Release all ports."""
        self._sockets.close()


def _bind(stack: contextlib.ExitStack, ip: str, port: int) -> socket.socket:
    sock = stack.enter_context(socket.socket())
    sock.bind((ip, port))
    return sock
