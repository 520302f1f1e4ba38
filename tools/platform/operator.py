"""Stand-in for the platform's operators and for other clients of control boxes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from leadseam.platform import names
from leadseam.runtime.connector import LoopConnector

if TYPE_CHECKING:
    from collections.abc import Sequence

OPERATOR_PAUSE = 0.05
"""Seconds until an operator tries the next control box."""
REQUEST_TIMEOUT = 2.0
"""Seconds within which a control box must answer."""


@dataclass
class Operator:
    """Sends configurations and orders to the first control box that answers.

    Args:
        controls: Addresses of the control boxes, tried in turn.
    """

    controls: Sequence[str]

    async def replace(self, document: bytes) -> int:
        """Send a configuration until a status below 500 comes back; return it."""
        for control in itertools.cycle(self.controls):
            status = await self._try(control, document)
            if status and status < 500:
                return status
            await asyncio.sleep(OPERATOR_PAUSE)
        raise AssertionError

    async def switch(self, domain: str, *, evacuated: bool) -> int:
        """Order an evacuation or its end until a status below 500 comes back."""
        path = names.EVACUATE_PATH if evacuated else names.RESTORE_PATH
        for control in itertools.cycle(self.controls):
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                status = await post_bytes(control, path.format(domain=domain), b"")
                if status < 500:
                    return status
            await asyncio.sleep(OPERATOR_PAUSE)
        raise AssertionError

    async def read(self) -> bytes:
        """Read the newest configuration from any control box that has it."""
        async with open_session() as session:
            for control in itertools.cycle(self.controls):
                url = f"http://{control}{names.READ_PATH}"
                with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                    async with session.get(url) as resp:
                        if resp.status == 200:
                            return await resp.read()
                await asyncio.sleep(OPERATOR_PAUSE)
        raise AssertionError

    async def _try(self, control: str, document: bytes) -> int:
        url = f"http://{control}{names.REPLACE_PATH}"
        try:
            return await _post(url, document)
        except (aiohttp.ClientError, OSError, TimeoutError):
            return 0


async def post_bytes(control: str, path: str, body: bytes) -> int:
    """Post a body to a control box, as any client can, and return the status."""
    url = f"http://{control}{path}"
    return await _post(url, body)


async def _post(url: str, body: bytes) -> int:
    async with open_session() as session, session.post(url, data=body) as resp:
        return resp.status


def open_session() -> aiohttp.ClientSession:
    """Open a session that uses a new connection for each request."""

    return aiohttp.ClientSession(
        timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT),
        connector=LoopConnector(),
    )
