"""Closing connections so that their peers see how they ended."""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

_LINGER_NONE = struct.pack("ii", 1, 0)
"""`SO_LINGER` with a time of zero, with which a close resets the connection."""
RESET = "reset"
"""Extra information of a transport without a socket: a function that resets it."""


def reset_connection(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, even if everything was sent.

    Bytes that have not been delivered yet may be lost.
    """
    reset = transport.get_extra_info(RESET)
    if reset is not None:
        reset()
        return
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
    transport.abort()


def abort_response(transport: asyncio.Transport, *, chunked: bool) -> None:
    """Close a caller's connection so that a response cannot seem complete.

    Args:
        transport: The connection.
        chunked: Whether the response is sent in chunks, whose missing end shows that it
            is incomplete. Otherwise an ordinary close would complete it.
    """
    if chunked:
        transport.abort()
    else:
        reset_connection(transport)
