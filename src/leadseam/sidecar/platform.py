"""Polls the platform's list of live and leaving boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from leadseam.clock import Millis, seconds, sleep
from leadseam.runtime.connector import LoopConnector

if TYPE_CHECKING:
    from collections.abc import Callable

POLL_INTERVAL: Millis = 1_000
FETCH_TIMEOUT: Millis = 1_000
LEAVING = "leaving"


class BoxList(msgspec.Struct, frozen=True):
    """The platform's list: the state, `live` or `leaving`, by name of the box."""

    boxes: dict[str, str] = {}


async def watch_platform(url: str, box: str, on_leaving: Callable[[], None]) -> None:
    """Poll the list until the box is listed as leaving.

    The list may be out of date and show the box as live again later. Leaving is final,
    so polling ends then. A list that can't be read is ignored.

    Args:
        url: URL of the list.
        box: Name of the box to look up.
        on_leaving: Called once, when the box is leaving.
    """
    timeout = aiohttp.ClientTimeout(total=seconds(FETCH_TIMEOUT))
    async with aiohttp.ClientSession(
        connector=LoopConnector(), timeout=timeout
    ) as session:
        while not await _is_leaving(session, url, box):
            await sleep(POLL_INTERVAL)
    on_leaving()


async def _is_leaving(session: aiohttp.ClientSession, url: str, box: str) -> bool:
    try:
        async with session.get(url) as resp:
            listed = msgspec.json.decode(await resp.read(), type=BoxList)
    except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError, RecursionError):
        return False
    return listed.boxes.get(box) == LEAVING
