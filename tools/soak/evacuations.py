"""An operator that empties a failure domain again and again, and what servers saw."""

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
"""The failure domain that is emptied; the rest of the servers is in another one."""
MAX_PAUSE = 1.5
"""Longest pause before an order, in seconds."""
MIN_EVACUATED, MAX_EVACUATED = 1.0, 6.0
"""Seconds for which a domain stays empty."""
IN_FORCE_LIMIT = 2.0
"""Seconds after an acknowledgement in which it is in force: the bound of the tests."""
OBSERVATION_TIME = 1.5
"""Seconds in which an empty domain is looked at while callers go on."""


@dataclass(frozen=True, slots=True)
class EvacuationPeriod:
    """A time in which the domain is to get nothing.

    Args:
        acknowledged_at: When the order was acknowledged, on the steady clock.
        withdrawn_at: When the order to take it back was first sent.
    """

    acknowledged_at: float
    withdrawn_at: float


class Evacuations:
    """Empties a domain and takes it back, and checks that it gets nothing meanwhile.

    Args:
        platform: The nodes, servers and links.
        seed: Seed of the pauses.
        promises: Where checks are noted.
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
        """Go on until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, MAX_PAUSE))
            await self._evacuate()
            await asyncio.sleep(self._rng.uniform(MIN_EVACUATED, MAX_EVACUATED))
            await self._restore()

    async def evacuate(self) -> None:
        """Have the domain empty from now on."""
        await self._evacuate()

    async def check_still_evacuated(self) -> None:
        """Check that it is still empty, and that it serves once it is taken back."""
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
        """Check the requests that reached the domain while it was to get none."""
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
