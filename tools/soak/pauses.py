"""Servers that refuse everything and ask for a pause, or announce that they leave."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.platform.pauses import MAX_ARRIVALS, SLACK

if TYPE_CHECKING:
    from tools.platform.pauses import Pause
    from tools.platform.standin import Server
    from tools.soak.callers import Call
    from tools.soak.promise_checker import PromiseChecker
    from tools.soak.soak_platform import SoakPlatform

MAX_INTERVAL = 1.0
"""Longest interval between two servers that begin to pause or to leave, in seconds."""
MIN_PAUSE, MAX_PAUSE = 0.6, 3.0
"""Shortest and longest pause that a server asks for, in seconds."""
MAX_REFUSING_TIME = 3.0
"""Longest time for which a server refuses requests, in seconds."""
LEAVING_FRACTION = 0.2
"""Fraction of the turns in which a server leaves instead, announced only in answers."""
LEAVING_TIME = 4.0
"""Seconds from the announcement in answers until the server ends and restarts."""
DRAIN_LIMIT = 2.0
"""Seconds after such an answer in which new requests may arrive: the users' bound."""


class ServerPauses:
    """Makes servers pause and leave at random, also several at a time.

    Args:
        platform: The nodes, servers and links.
        seed: Seed for servers and durations.
        promises: Records the checks.
    """

    def __init__(
        self, platform: SoakPlatform, seed: int, promises: PromiseChecker
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed + 11)
        self._promises = promises

    async def run(self) -> None:
        """Pause servers until cancelled; pauses that have begun are ended first."""
        async with asyncio.TaskGroup() as group:
            while True:
                await asyncio.sleep(self._rng.uniform(0, MAX_INTERVAL))
                server = self._rng.choice(self._platform.servers)
                leaves = self._rng.random() < LEAVING_FRACTION
                group.create_task(
                    self._leave(server) if leaves else self._pause(server)
                )

    async def _pause(self, server: Server) -> None:
        server.pause_length = self._rng.uniform(MIN_PAUSE, MAX_PAUSE)
        server.default_action = "rest"
        try:
            await asyncio.sleep(self._rng.uniform(0, MAX_REFUSING_TIME))
        finally:
            server.default_action = "answer"

    async def _leave(self, server: Server) -> None:
        server.announces_leaving = True
        try:
            await asyncio.sleep(LEAVING_TIME)
        finally:
            # The crash resets it: its next start does not announce that it leaves.
            server.crash()

    def check_at_end(self, *, timed: bool) -> None:
        """Check which requests reached servers against what these had asked for."""
        if not timed:
            return
        entries = {call.request_id: call.entry for call in self._promises.calls}
        for server in self._platform.all_servers:
            for rest in server.pauses:
                if entry := entries.get(rest.request_id):
                    self._check_pause(server, rest, entry, entries)
        for call in self._promises.calls:
            if call.headers.get(names.LEAVING) == names.LEAVING_VALUE and not call.cut:
                self._check_leaving(call)

    def _check_pause(
        self, server: Server, rest: Pause, entry: str, entries: dict[str, str]
    ) -> None:
        if self._was_disturbed(entry, server, rest.at, rest.at + rest.length):
            return
        count = sum(
            rest.covers(arrival) and entries.get(arrival.request_id) == entry
            for arrival in server.arrivals
        )
        detail = f"{count} from {entry} in {rest.length:.2f} s at {rest.incarnation}"
        kept = count <= MAX_ARRIVALS
        self._promises.check("rest kept", kept, f"{rest.request_id}: {detail}")

    def _check_leaving(self, call: Call) -> None:
        """Check that no request sent after the bound reached that server."""
        instance = call.headers.get(names.SIGNATURE, "").removeprefix("signed-")
        late = [
            later
            for later in self._promises.calls
            if later.entry == call.entry
            and later.start > call.end + DRAIN_LIMIT
            and later.headers.get(names.SIGNATURE) == f"signed-{instance}"
            and later.headers.get(names.LEAVING) == names.LEAVING_VALUE
            and not self._platform.disturbances.was_disturbed(
                call.entry, call.end, later.start
            )
        ]
        detail = f"{[one.request_id for one in late]} after {call.request_id}"
        self._promises.check("left by answers", not late, detail)

    def _was_disturbed(
        self, entry: str, server: Server, since: float, until: float
    ) -> bool:
        """Return whether the entry, or its link to the server, was disturbed."""
        disturbances = self._platform.disturbances
        return disturbances.was_disturbed(
            entry, since - SLACK, until
        ) or disturbances.was_disturbed(server.ip, since - SLACK, until)
