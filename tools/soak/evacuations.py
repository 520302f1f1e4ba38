"""An operator that repeatedly evacuates a failure domain, and checks of its effect."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.soak.promise_checker import FAULT_EFFECT_TIME
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.platform.standin import Run, Server
    from tools.soak.promise_checker import PromiseChecker
    from tools.soak.soak_platform import SoakPlatform

EVACUATED_DOMAIN = "b"
"""The failure domain that is evacuated; all other servers are in another one."""
MAX_PAUSE = 1.5
"""Longest interval before an evacuation is ordered, in seconds."""
MIN_EVACUATED, MAX_EVACUATED = 1.0, 6.0
"""Seconds for which the domain stays evacuated."""
IN_FORCE_LIMIT = 2.0
"""Seconds from the acknowledgement of an order until it is in force everywhere; the
tests have the same bound."""
OBSERVATION_TIME = 1.5
"""Seconds for which the domain is observed while callers keep calling."""


@dataclass(frozen=True, slots=True)
class EvacuationPeriod:
    """A period in which the domain must get no requests.

    Args:
        acknowledged_at: When the evacuation was acknowledged, on the steady clock.
        withdrawn_at: When the order to restore the domain was first sent.
    """

    acknowledged_at: float
    withdrawn_at: float


class Evacuations:
    """Evacuates and restores a domain, and checks that it gets no requests meanwhile.

    Args:
        platform: The nodes, servers and links.
        seed: Seed for the intervals.
        promises: Records the checks.
    """

    def __init__(
        self, platform: SoakPlatform, seed: int, promises: PromiseChecker
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed + 7)
        self._promises = promises
        self._periods: list[EvacuationPeriod] = []
        self._evacuated_at: float | None = None

    async def assign_domain(self) -> None:
        """Move one server of each service to the domain."""
        seen: set[str] = set()
        for server in self._platform.servers:
            if server.service in seen:
                server.zone = EVACUATED_DOMAIN
            seen.add(server.service)

    async def run(self) -> None:
        """Evacuate and restore the domain until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE))
            await self._evacuate()
            await asyncio.sleep(self._rng.uniform(MIN_EVACUATED, MAX_EVACUATED))
            await self._restore()

    async def evacuate(self) -> None:
        """Evacuate the domain and keep it so."""
        await self._evacuate()

    async def check_still_evacuated(self) -> None:
        """Check that the domain still gets nothing, and serves once it is restored."""
        before = [len(server.runs) for server in self._servers_in_domain()]
        await asyncio.sleep(OBSERVATION_TIME)
        after = [len(server.runs) for server in self._servers_in_domain()]
        detail = f"runs went from {before} to {after}"
        self._promises.check("evacuation held", before == after, detail)
        await self._restore()
        try:
            await wait_until(self._serves_after_restore, "the domain serves again")
        except AssertionError as exc:
            self._promises.fail("evacuation taken back", str(exc))
        else:
            self._promises.check("evacuation taken back", True, "")

    def check_at_end(self, *, timed: bool) -> None:
        """Check that no request reached the domain while an evacuation was in force."""
        if not timed:
            return
        entries = {call.request_id: call.entry for call in self._promises.calls}
        for server in self._servers_in_domain():
            for run in server.runs:
                entry = entries.get(run.request_id)
                if entry is not None:
                    self._check_run(run, entry)

    def _check_run(self, run: Run, entry: str) -> None:
        for period in self._periods:
            since = period.acknowledged_at
            if not since <= run.at < period.withdrawn_at:
                continue
            if self._platform.disturbances.was_disturbed(
                entry, since - FAULT_EFFECT_TIME, run.at
            ):
                continue
            kept = run.at - since <= IN_FORCE_LIMIT
            detail = f"{run.request_id} {run.at - since:.2f} s after its evacuation"
            self._promises.check("evacuation in force", kept, detail)

    async def _evacuate(self) -> None:
        if self._evacuated_at is None:
            await self._platform.operator.switch(EVACUATED_DOMAIN, evacuated=True)
            self._evacuated_at = time.monotonic()

    async def _restore(self) -> None:
        if self._evacuated_at is not None:
            self._periods.append(EvacuationPeriod(self._evacuated_at, time.monotonic()))
            self._evacuated_at = None
        await self._platform.operator.switch(EVACUATED_DOMAIN, evacuated=False)

    async def _serves_after_restore(self) -> bool:
        begun = [len(server.runs) for server in self._servers_in_domain()]
        await asyncio.sleep(OBSERVATION_TIME)
        return any(
            len(server.runs) > before
            for server, before in zip(self._servers_in_domain(), begun, strict=False)
        )

    def _servers_in_domain(self) -> Iterator[Server]:
        return (
            server
            for server in self._platform.all_servers
            if server.zone == EVACUATED_DOMAIN
        )
