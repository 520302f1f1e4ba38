"""Callers that repeatedly send requests which crash each server that begins them."""

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
"""Paths of the requests: a plain answer, and a stream that begins before the crash."""
BODY = b'{"deadly":true}'
MAX_SEND_PAUSE = 0.5
"""Longest interval between two sends of one path, in seconds."""
RESTART_TIME = 0.8
"""Seconds until a crashed server has restarted."""
MAX_ENDS = 3
"""Servers that may crash before a request is refused, and, counted apart, crashes by
later sends that are tolerated."""
VERDICT_TIME_LIMIT = 3.0
"""Seconds after the third crash until a verdict is due: the users' strictest bound."""
VERDICT_WRITTEN = "verdict written"
"""Log message of a control box once a verdict would survive a power loss of all."""


@dataclass(frozen=True, slots=True)
class SentRequest:
    """A deadly request that was sent.

    Args:
        entry: Entry that it was sent to.
        path: Path of the request.
        at: When it was sent, on the steady clock.
    """

    entry: str
    path: str
    at: float


class DeadlyCallers:
    """Sends deadly requests throughout a run, each path with one body.

    Args:
        platform: The nodes, servers and links.
        seed: Seed for entries and intervals.
        promises: Records the checks.
    """

    paths: tuple[str, ...] = PATHS

    def __init__(
        self, platform: SoakPlatform, seed: int, promises: PromiseChecker
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed + 3)
        self._promises = promises
        self._id_numbers = itertools.count(1)
        self._sent: dict[str, SentRequest] = {}

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with asyncio.TaskGroup() as group:
            for path in self.paths:
                group.create_task(self._send_repeatedly(path))

    async def wait_refused(self) -> None:
        """Wait until all entries refuse all paths and the verdicts are on disk."""
        await wait_until(self._all_refused, "deadly requests are refused")
        await wait_until(self._verdicts_written, "verdicts are written")

    async def check_refused(self) -> None:
        """Check that all entries refuse all paths at the first send."""
        for path in self.paths:
            for entry in self._platform.entry_ips:
                refused = await self._is_refused(entry, path)
                self._promises.check(
                    "deadly stays known", refused, f"{path} at {entry}"
                )

    def check_at_end(self, *, timed: bool) -> None:
        """Check how many servers were crashed by late sends after the third crash."""
        self._log_crashes()
        for path in self.paths:
            runs = sorted(self._crashes_at(path), key=lambda run: run.at)
            if len(runs) < MAX_ENDS:
                continue
            third_end = runs[MAX_ENDS - 1].at
            late = [
                run for run in runs if self._is_late(run.request_id, run.at, third_end)
            ]
            detail = f"{path}: {len(runs)} servers ended, {len(late)} by late sends"
            if timed:
                kept = len(late) <= MAX_ENDS
                self._promises.check("deadly known in time", kept, detail)

    def _log_crashes(self) -> None:
        """Record crashes as disturbances: they cut what ran at the server."""
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
            # Servers are replaced during a run; each one has to crash.
            server.actions["deadly"] = "crash"
            server.restart_delay = RESTART_TIME
        request_id = f"d{next(self._id_numbers)}"
        self._sent[request_id] = SentRequest(entry, path, time.monotonic())
        return await self._platform.call(
            entry, path, body=BODY, request_id=request_id, key=KEY
        )

    async def _all_refused(self) -> bool:
        pairs = itertools.product(self._platform.entry_ips, self.paths)
        return all([await self._is_refused(entry, path) for entry, path in pairs])

    async def _is_refused(self, entry: str, path: str) -> bool:
        return b'"crashes_upstreams"' in (await self._send(entry, path)).body

    async def _verdicts_written(self) -> bool:
        """Return whether all verdicts are written."""
        return len(self._written_verdicts()) >= len(self.paths)

    def _written_verdicts(self) -> set[str]:
        """Return the fingerprints of verdicts written, no matter by which box.

        The logs of boxes that were replaced since count too: what such a box wrote was
        committed by the group.
        """
        boxes = [path.stem for path in self._platform.folder.glob("*.log")]
        lines = [line for box in boxes for line in self._platform.log(box)]
        return {
            fingerprint
            for line in lines
            if line["message"] == VERDICT_WRITTEN
            for fingerprint in line["fingerprints"]
        }

    def _crashes_at(self, path: str) -> list[Run]:
        servers: list[Server] = list(self._platform.all_servers)
        crashes = (run for server in servers for run in server.crashes)
        return [run for run in crashes if run.target == path]

    def _is_late(self, request_id: str, at: float, last_end: float) -> bool:
        """Return whether a request came after the limit though no node was disturbed.

        Args:
            request_id: Identifier of the request.
            at: When it reached a server or crashed it.
            last_end: When the last crash was that is tolerated.
        """
        sent = self._sent[request_id]
        if at <= last_end + VERDICT_TIME_LIMIT:
            return False
        disturbances = self._platform.disturbances
        return not any(
            disturbances.was_disturbed(box, sent.at - VERDICT_TIME_LIMIT, at)
            for box in (sent.entry, *self._platform.control_ips)
        )
