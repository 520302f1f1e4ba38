"""Callers who send again and again what crashes each server that begins it."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.platform.nodes import KEY
from tools.soak.disturbances import Disturbance
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Answer
    from tools.platform.standin import Run, Server
    from tools.soak.promise_checker import PromiseChecker
    from tools.soak.soak_platform import SoakPlatform

PATHS = ("/safe/deadly", "/stream/deadly")
"""What is asked for: a plain answer, and a stream that begins before the crash."""
BODY = b'{"deadly":true}'
MAX_SEND_PAUSE = 0.5
"""Seconds between two sends of one path, at the most."""
RESTART_TIME = 0.8
"""Seconds until a crashed server is back."""
MAX_ENDS = 3
"""Servers that end before a request is known, and later sends that are borne."""
VERDICT_TIME_LIMIT = 3.0
"""Seconds after the third end from which sends count: the users' least bound."""
VERDICT_WRITTEN = "verdict written"
"""Line of a control box once a verdict outlives the loss of power everywhere."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """One send of a deadly request.

    Args:
        entry: Entry that it went to.
        path: What it asked for.
        at: When, on the steady clock.
    """

    entry: str
    path: str
    at: float


class DeadlyCallers:
    """Sends deadly requests for as long as a run lasts.

    Args:
        platform: The nodes, servers and links.
        seed: Seed of the choices.
        promises: Where broken promises are noted.
    """

    def __init__(
        self, platform: SoakPlatform, seed: int, promises: PromiseChecker
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed + 3)
        self._promises = promises
        self._id_numbers = itertools.count(1)
        self._sent: dict[str, SentRequest] = {}

    async def run(self) -> None:
        """Send until cancelled."""
        async with asyncio.TaskGroup() as group:
            for path in PATHS:
                group.create_task(self._send_repeatedly(path))

    async def wait_refused(self) -> None:
        """Wait until all entries refuse both, and that outlives a loss of power."""
        await wait_until(self._all_refused, "deadly requests are refused")
        await wait_until(self._verdicts_written, "verdicts are written")

    async def check_refused(self) -> None:
        """Check that all entries refuse both at once."""
        for path in PATHS:
            for entry in self._platform.entry_ips:
                refused = await self._is_refused(entry, path)
                self._promises.check(
                    "deadly stays known", refused, f"{path} at {entry}"
                )

    def check_at_end(self, *, timed: bool) -> None:
        """Check how often servers were reached after three had ended."""
        self._log_crashes()
        for path in PATHS:
            runs = sorted(self._crashes_at(path), key=lambda run: run.at)
            if len(runs) < MAX_ENDS:
                continue
            late = [run for run in runs if self._is_late(run, runs[MAX_ENDS - 1].at)]
            detail = f"{path}: {len(runs)} servers ended, {len(late)} by late sends"
            if timed:
                kept = len(late) <= MAX_ENDS
                self._promises.check("deadly known in time", kept, detail)

    def _log_crashes(self) -> None:
        """Note crashes as disturbances of their servers, which cut what ran there."""
        for server in self._platform.all_servers:
            for run in server.crashes:
                disturbance = Disturbance(
                    server.ip, run.at, planned=False, end=run.at + RESTART_TIME
                )
                self._platform.disturbances.entries.append(disturbance)

    async def _send_repeatedly(self, path: str) -> None:
        while True:
            await self._send(self._rng.choice(self._platform.entry_ips), path)
            await asyncio.sleep(self._rng.uniform(0, MAX_SEND_PAUSE))

    async def _send(self, entry: str, path: str) -> Answer:
        for server in self._platform.servers:
            # Servers come and go; each of them crashes under it.
            server.behave["deadly"] = "crash"
            server.down = RESTART_TIME
        request_id = f"d{next(self._id_numbers)}"
        self._sent[request_id] = SentRequest(entry, path, time.monotonic())
        return await self._platform.call(
            entry, path, body=BODY, request_id=request_id, key=KEY
        )

    async def _all_refused(self) -> bool:
        pairs = itertools.product(self._platform.entry_ips, PATHS)
        return all([await self._is_refused(entry, path) for entry, path in pairs])

    async def _is_refused(self, entry: str, path: str) -> bool:
        return b'"crashes_upstreams"' in (await self._send(entry, path)).body

    async def _verdicts_written(self) -> bool:
        """Tell whether both verdicts are written, by whichever box it was.

        A box that was replaced since tells it too: what it wrote is the group's.
        """
        boxes = [path.stem for path in self._platform.folder.glob("*.log")]
        lines = [line for box in boxes for line in self._platform.log(box)]
        fingerprints_written = {
            fingerprint
            for line in lines
            if line["message"] == VERDICT_WRITTEN
            for fingerprint in line["fingerprints"]
        }
        return len(fingerprints_written) >= len(PATHS)

    def _crashes_at(self, path: str) -> list[Run]:
        servers: list[Server] = list(self._platform.all_servers)
        crashes = (run for server in servers for run in server.crashes)
        return [run for run in crashes if run.target == path]

    def _is_late(self, run: Run, third_end: float) -> bool:
        """Tell whether a send counts: late, and from an entry that was undisturbed."""
        sent = self._sent[run.request_id]
        if run.at <= third_end + VERDICT_TIME_LIMIT:
            return False
        disturbances = self._platform.disturbances
        return not any(
            disturbances.was_disturbed(box, sent.at - VERDICT_TIME_LIMIT, run.at)
            for box in (sent.entry, *self._platform.control_ips)
        )
