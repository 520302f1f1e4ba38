"""Upstreams that send bytes without end in place of an answer.

Guards against an entry that buffers them until its memory is used up, or reads them
until the deadline while the other requests of the entry wait.
"""

from __future__ import annotations

import asyncio
import time
from pathlib import Path
from typing import TYPE_CHECKING

from leadseam.standin.endless_answers import Endless

if TYPE_CHECKING:
    from tools.platform.nodes import Platform

MAX_SENT = 16 * 1024 * 1024
"""Bytes that an upstream may have sent when it is cut: the buffers of both sockets and
the largest buffer of an entry, for each of the upstreams that a request is sent to."""
MAX_MEMORY = 32 * 1024 * 1024
"""Bytes by which an entry's memory may grow: several of its largest buffer."""
MAX_WAIT = 1.0
"""Seconds that another request may take meanwhile."""
STREAMS = (Endless.EVENT, Endless.COMMENTS)


async def test_bytes_without_end_are_cut_and_their_caller_is_told(
    platform: Platform,
) -> None:
    for server in platform.servers:
        server.actions |= {kind.value: kind.value for kind in Endless}
    entry = platform.entry_ips[0]
    for kind in Endless:
        route = "stream" if kind in STREAMS else "safe"
        await platform.earn_retries(entry, route)
        answer = await platform.call(entry, f"/{route}/{kind.value}")
        sent = sum(server.endless_bytes[kind.value] for server in platform.servers)
        assert 0 < sent <= MAX_SENT, (kind, sent, answer.status)
        assert answer.status in (0, 502, 503), (kind, answer.status)
        served = await platform.call(entry, f"/{route}/good")
        assert served.status == 200, kind


async def test_bytes_without_end_cost_little_memory_and_hold_up_no_other_request(
    platform: Platform,
) -> None:
    for server in platform.servers:
        server.actions |= {kind.value: kind.value for kind in Endless}
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "safe")
    before = peak_memory(platform, entry)
    for kind in Endless:
        route = "stream" if kind in STREAMS else "safe"
        endless = asyncio.create_task(platform.call(entry, f"/{route}/{kind.value}"))
        waits = []
        while not endless.done():
            began = time.monotonic()
            answer = await platform.call(entry, "/once/good")
            waits.append(time.monotonic() - began)
            assert answer.status == 200, kind
        assert max(waits) <= MAX_WAIT, (kind, max(waits))
        grown = peak_memory(platform, entry) - before
        assert grown <= MAX_MEMORY, (kind, grown)


def peak_memory(platform: Platform, ip: str) -> int:
    """Return the highest resident memory of the process of a box so far, in bytes."""
    status = Path(f"/proc/{platform.processes[ip].pid}/status").read_text()
    (line,) = (one for one in status.splitlines() if one.startswith("VmHWM:"))
    return int(line.split()[1]) * 1024
