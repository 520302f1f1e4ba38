"""Callers of prompts with a part that crashes each server that begins an answer."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from leadseam.crashes.fingerprint import PART_PREFIX
from leadseam.platform import names
from tools.platform.nodes import KEY
from tools.soak.deadly import MAX_ENDS, RESTART_TIME, DeadlyCallers, SentRequest

if TYPE_CHECKING:
    from tools.platform.nodes import Answer

PATH = "/stream/part"
DEADLY_PART = "dead01"
SHARED_PARTS = ("5a5a01", "5a5a02", "5a5a03")
"""Parts that sound prompts have too."""
MAX_PART_ENDS = 5
"""Crashes by requests with the part that are tolerated before its verdict."""
SOUND_CALLS = 20
"""Sound requests at each entry once the part is known."""


class DeadlyPartCallers(DeadlyCallers):
    """Sends prompts that share a deadly part; no two of them are alike."""

    paths = (PATH,)

    async def check_refused(self) -> None:
        """Check that the part is refused, and that prompts without it are served."""
        await super().check_refused()
        for entry in self._platform.entry_ips:
            answers = [
                await self._call(entry, [*SHARED_PARTS, self._new_id()])
                for _ in range(SOUND_CALLS)
            ]
            served = sum(answer.status == 200 for answer in answers)
            self._promises.check(
                "sound parts are served",
                2 * served >= SOUND_CALLS,
                f"{served} of {SOUND_CALLS} at {entry}",
            )

    def check_at_end(self, *, timed: bool) -> None:
        """Check how many requests reached servers after the fifth crash."""
        self._log_crashes()
        crashes = sorted(run.at for run in self._crashes_at(PATH))
        if len(crashes) < MAX_PART_ENDS or not timed:
            return
        last_end = crashes[MAX_PART_ENDS - 1]
        arrivals = [
            arrival
            for server in self._platform.all_servers
            for arrival in server.part_arrivals
            if self._is_late(arrival.request_id, arrival.at, last_end)
        ]
        self._promises.check(
            "deadly part known in time",
            len(arrivals) <= MAX_ENDS,
            f"{len(crashes)} servers ended, {len(arrivals)} late sends",
        )

    async def _send(self, entry: str, path: str) -> Answer:
        """Send a prompt with the deadly part at a random position but the last."""
        for server in self._platform.servers:
            # Servers are replaced during a run; each one has to crash.
            server.deadly_parts.add(DEADLY_PART)
            server.events_before_crash = self._rng.randrange(2)
            server.restart_delay = RESTART_TIME
        parts = [*SHARED_PARTS, self._new_id()]
        parts.insert(self._rng.randrange(len(parts)), DEADLY_PART)
        return await self._call(entry, parts, path)

    async def _call(self, entry: str, parts: list[str], path: str = PATH) -> Answer:
        request_id = f"p{self._new_id()}"
        self._sent[request_id] = SentRequest(entry, path, time.monotonic())
        return await self._platform.call(
            entry,
            path,
            body=request_id.encode(),
            request_id=request_id,
            headers={names.PROMPT_PARTS: ",".join(f"{part}:100" for part in parts)},
            key=KEY,
        )

    async def _verdicts_written(self) -> bool:
        return PART_PREFIX + DEADLY_PART in self._written_verdicts()

    def _new_id(self) -> str:
        return f"{next(self._id_numbers):x}"
