"""Servers that refuse or fail requests while entries are killed in series."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from tools.soak.plan import Kill, KillControl, PlannedFault

if TYPE_CHECKING:
    from tools.platform.standin import Server
    from tools.soak.injector import Injector
    from tools.soak.soak_platform import SoakPlatform

RETRY_SLACK = 20
"""Slack of the retry budget in such runs, small enough to be used up."""
MAX_INTERVAL = 2.0
"""Longest interval between two outages, in seconds."""
MIN_OUTAGE, MAX_OUTAGE = 1.0, 6.0
"""Shortest and longest time for which servers refuse or fail requests, in seconds."""
MAX_KILLS = 4
"""Most kills of entries in one outage."""
CONTROL_KILL_FRACTION = 0.2
"""Fraction of the kills that hit the control boxes as well."""
DOWNTIME = 0.1
"""Seconds until a killed process is started again."""


class Refusals:
    """Makes servers refuse or fail what they get, and kills entries meanwhile.

    Args:
        platform: The nodes, servers and links.
        injector: Kills and restarts boxes.
        seed: Seed for servers, durations and kills.
    """

    def __init__(self, platform: SoakPlatform, injector: Injector, seed: int) -> None:
        self._platform = platform
        self._injector = injector
        self._rng = random.Random(seed + 13)

    async def run(self) -> None:
        """Cause outages until cancelled; servers recover then."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, MAX_INTERVAL))
            service = self._rng.choice(["plain", "model"])
            servers = self._platform.servers_of(service)
            await self._cause_outage(servers, self._rng.choice(["full", "error"]))

    async def _cause_outage(self, servers: list[Server], action: str) -> None:
        for server in servers:
            server.default_action = action
        try:
            kills = self._rng.randint(0, MAX_KILLS)
            outage = self._rng.uniform(MIN_OUTAGE, MAX_OUTAGE)
            for _ in range(kills):
                await asyncio.sleep(outage / (kills + 1))
                await self._kill_entries()
            await asyncio.sleep(outage / (kills + 1))
        finally:
            for server in servers:
                server.default_action = "answer"

    async def _kill_entries(self) -> None:
        faults: list[Kill | KillControl] = [
            Kill(entry)
            for entry in self._platform.entry_ips
            if self._rng.random() < 0.8
        ]
        if self._rng.random() < CONTROL_KILL_FRACTION:
            faults.append(KillControl())
        kills = (
            self._injector.inject(PlannedFault(0, DOWNTIME, fault)) for fault in faults
        )
        # What is killed is started again, even if this task is cancelled.
        await asyncio.shield(asyncio.gather(*kills))
