"""Checks whether a process listens at an address."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.clock import seconds

if TYPE_CHECKING:
    from leadseam.clock import Millis


async def is_refused(ip: str, port: int, *, timeout: Millis) -> bool:
    """Check whether an address refuses connections.

    A refusal means that no process listens there any more; a timeout or a reset does
    not.

    Args:
        ip: IP address.
        port: Port.
        timeout: Time after which the connection is given up.
    """
    try:
        async with asyncio.timeout(seconds(timeout)):
            _, writer = await asyncio.open_connection(ip, port)
    except ConnectionRefusedError:
        return True
    except OSError:
        # Includes timeouts. The result is unknown; the attempt has its log line.
        return False
    writer.close()
    return False
