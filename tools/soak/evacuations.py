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

DOMAIN = "b"
"""The failure domain that is emptied; the rest of the servers is in another one."""
MOST_PAUSE = 1.5
"""Longest pause before an order, in seconds."""
LEAST_HELD, MOST_HELD = 1.0, 6.0
"""Seconds for which a domain stays empty."""
SLACK = 2.0
"""Seconds after an acknowledgement in which it is in force: the bound of the tests."""
LOOK = 1.5
"""Seconds in which an empty domain is looked at while callers go on."""


@dataclass(frozen=True, slots=True)
class Span:
    """A time in which the domain is to get nothing.

    Args:
        acknowledged: When the order was acknowledged, on the steady clock.
        withdrawn: When the order to take it back was first sent.
    """

    acknowledged: float
    withdrawn: float


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
        self._spans: list[Span] = []
        self._since: float | None = None

    async def begin(self) -> None:
        """Move one server of each service to the domain."""
        seen: set[str] = set()
        for server in self._platform.servers:
            if server.service in seen:
                server.zone = DOMAIN
            seen.add(server.service)

    async def run(self) -> None:
        """Go on until cancelled."""
        while True:
            await asyncio.sleep(self._rng.uniform(0, MOST_PAUSE))
            await self._evacuate()
            await asyncio.sleep(self._rng.uniform(LEAST_HELD, MOST_HELD))
            await self._restore()

    async def hold(self) -> None:
        """Have the domain empty from now on."""
        await self._evacuate()

    async def check_held(self) -> None:
        """Check that it is still empty, and that it serves once it is taken back."""
        before = [len(server.runs) for server in self._emptied()]
        await asyncio.sleep(LOOK)
        after = [len(server.runs) for server in self._emptied()]
        detail = f"runs went from {before} to {after}"
        self._promises.check("evacuation held", before == after, detail)
        await self._restore()
        try:
            await wait_until(self._serves_again, "the domain serves again")
        except AssertionError as exc:
            self._promises.fail("evacuation taken back", str(exc))
        else:
            self._promises.check("evacuation taken back", True, "")

    def check_at_end(self, *, timed: bool) -> None:
        """Check the requests that reached the domain while it was to get none."""
        if not timed:
            return
        entries = {call.request_id: call.entry for call in self._promises.calls}
        for server in self._emptied():
            for run in server.runs:
                entry = entries.get(run.request_id)
                if entry is not None:
                    self._check_run(run, entry)

    def _check_run(self, run: Run, entry: str) -> None:
        for span in self._spans:
            since = span.acknowledged
            if not since <= run.at < span.withdrawn:
                continue
            if self._platform.disturbances.was_disturbed(
                entry, since - FAULT_EFFECT_TIME, run.at
            ):
                continue
            kept = run.at - since <= SLACK
            detail = f"{run.request_id} {run.at - since:.2f} s after its evacuation"
            self._promises.check("evacuation in force", kept, detail)

    async def _evacuate(self) -> None:
        if self._since is None:
            await self._platform.operator.switch(DOMAIN, evacuated=True)
            self._since = time.monotonic()

    async def _restore(self) -> None:
        if self._since is not None:
            self._spans.append(Span(self._since, time.monotonic()))
            self._since = None
        await self._platform.operator.switch(DOMAIN, evacuated=False)

    async def _serves_again(self) -> bool:
        begun = [len(server.runs) for server in self._emptied()]
        await asyncio.sleep(LOOK)
        return any(
            len(server.runs) > before
            for server, before in zip(self._emptied(), begun, strict=False)
        )

    def _emptied(self) -> Iterator[Server]:
        return (
            server for server in self._platform.all_servers if server.zone == DOMAIN
        )
