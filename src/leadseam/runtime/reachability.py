"""Checks whether a process listens at an address."""

from __future__ import annotations

import asyncio
from enum import Enum, auto
from typing import TYPE_CHECKING

from leadseam.clock import seconds

if TYPE_CHECKING:
    from leadseam.clock import Millis


class Reach(Enum):
    """Result of opening a connection to an address.

    `ACCEPTS`: a process listens there. `REFUSES`: none does. `UNKNOWN`: there was a
    reset, an unreachable network, or no answer in time.
    """

    ACCEPTS = auto()
    REFUSES = auto()
    UNKNOWN = auto()


async def probe(ip: str, port: int, *, timeout: Millis) -> Reach:
    """Open a connection to an address, and close it again.

    Args:
        ip: IP address.
        port: Port.
        timeout: Time after which the connection is given up.
    """
    try:
        async with asyncio.timeout(seconds(timeout)):
            _, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return Reach.REFUSES
    except OSError:
        # Includes timeouts. The attempt has its log line.
        return Reach.UNKNOWN
    writer.close()
    return Reach.ACCEPTS


async def is_refused(ip: str, port: int, *, timeout: Millis) -> bool:
    """Check whether an address refuses connections; see `probe`."""
    return await probe(ip, port, timeout=timeout) is Reach.REFUSES
