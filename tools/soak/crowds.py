"""Crowds of clients that leave their requests unfinished, beside all other faults."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.crowd import Crowd, Member
from tools.crowd_ways import BODY_BYTES, CROWDED_WAYS
from tools.platform.nodes import HOST, KEY
from tools.process_usage import open_sockets, peak_memory

if TYPE_CHECKING:
    from tools.soak.promise_checker import PromiseChecker
    from tools.soak.soak_platform import SoakPlatform

MEMORY_MB = 128
"""Memory of an entry's box: the unfinished requests of one crowd would fill it."""
DESCRIPTORS = 500
FILE_DESCRIPTORS = 200
LIMITS = {"maxBodyBytes": BODY_BYTES}
MAX_PAUSE = 1.0
"""Longest interval between two crowds, and longest stay of one, in seconds."""
MAX_SENDING = 5.0
"""Seconds after which a crowd sends no more."""
CROWD_PREFIX = "crowd-"


class Crowds:
    """Sends crowds to entries, and checks that these stay within their boxes.

    Args:
        platform: The nodes, servers and links.
        seed: Seed for entries, ways and durations.
        promises: Told of processes that end or grow too large.
    """

    def __init__(
        self, platform: SoakPlatform, seed: int, promises: PromiseChecker
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed + 17)
        self._promises = promises
        self._numbers = itertools.count()

    async def run(self) -> None:
        """Send crowds until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE))
            await self._send_crowd(self._rng.choice(self._platform.entry_ips))

    async def _send_crowd(self, ip: str) -> None:
        way = CROWDED_WAYS[self._rng.choice(sorted(CROWDED_WAYS))]
        members = [
            Member(one, way.pieces(_start_of(one)))
            for one in (
                f"{CROWD_PREFIX}{next(self._numbers)}" for _ in range(way.members)
            )
        ]
        process = self._platform.processes[ip]
        crowd = Crowd((ip, self._platform.front_port), members)
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(MAX_SENDING):
                    await crowd.send()
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE))
            if self._platform.processes[ip] is process and process.poll() is None:
                self._check_usage(process.pid)
        finally:
            await crowd.leave()

    def _check_usage(self, pid: int) -> None:
        try:
            memory, sockets = peak_memory(pid), open_sockets(pid)
        except (OSError, ProcessLookupError):
            # It was killed meanwhile.
            return
        if memory > MEMORY_MB * 1_000_000:
            self._promises.fail("within memory", f"{memory} bytes")
        if sockets > DESCRIPTORS - FILE_DESCRIPTORS:
            self._promises.fail("within descriptors", f"{sockets} sockets")
        self._promises.checked["crowd survived"] += 1


def _start_of(request_id: str) -> list[str]:
    return [
        "POST /once/crowd HTTP/1.1",
        f"Host: {HOST}",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.AUTHORIZATION}: {names.BEARER}{KEY}",
        f"{names.DEADLINE}: 5000",
    ]
