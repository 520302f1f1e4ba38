"""One seed from start to end."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.platform.nodes import document
from tools.soak.callers import Callers
from tools.soak.deadly import DeadlyCallers
from tools.soak.evacuations import Evacuations
from tools.soak.injector import Injector
from tools.soak.plan import draw_faults
from tools.soak.promise_checker import PromiseChecker
from tools.soak.rests import Rests
from tools.soak.soak_platform import SoakPlatform
from tools.soak.strangers import Strangers
from tools.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from tools.soak.plan import PlannedFault
    from tools.soak.promise_checker import BrokenPromise

CHANGE_PAUSE = 0.7
"""Longest pause between two changes of the configuration, in seconds."""
RECOVERY_LIMIT = 90
"""Seconds in which all works again once every fault is mended; far above the platform's
15, as a machine that runs other work is slow to start processes."""
CONTEXT = 12
"""Log lines printed for a request of a broken promise."""


@dataclass(frozen=True, slots=True)
class Size:
    """How much is run.

    Args:
        seconds: Length of the time in which faults begin.
        entries: Entry boxes.
        callers: Callers of each entry.
        timed: Whether bounds on time are checked.
        same_ids: Whether servers start again under their ids, while somebody writes
            registrations that name none.
        deadly: Whether some requests crash the servers that begin them.
        suspended: Whether boxes that stand still leave that time out of their steady
            clocks.
        evacuations: Whether an operator empties a failure domain again and again.
        rests: Whether servers turn all away and ask for rests, or leave by the word of
            their answers only.
    """

    seconds: float = 20.0
    entries: int = 2
    callers: int = 6
    timed: bool = True
    same_ids: bool = False
    deadly: bool = False
    suspended: bool = False
    evacuations: bool = False
    rests: bool = False


@dataclass(frozen=True, slots=True)
class Summary:
    """What a seed showed.

    Args:
        seed: The seed.
        faults: Faults injected, by kind.
        answers: Calls by status of their answer; 0 for those that were cut.
        checked: Checks by promise.
        broken: Promises that were not kept.
        lines: Log lines on the requests of broken promises.
    """

    seed: int
    faults: dict[str, int]
    answers: dict[int, int]
    checked: dict[str, int]
    broken: tuple[BrokenPromise, ...]
    lines: tuple[str, ...]

    def __str__(self) -> str:
        verdict = "BROKEN" if self.broken else "kept"
        parts = [f"seed {self.seed}: {verdict}", f"faults {self.faults}"]
        parts += [f"answers {dict(sorted(self.answers.items()))}"]
        parts += [f"checked {self.checked}"]
        return "\n  ".join([*parts, *map(str, self.broken), *self.lines])


class Soak:
    """Runs one seed.

    Args:
        platform: The nodes, servers and links.
        seed: Seed of faults and calls.
        size: How much is run.
    """

    def __init__(self, platform: SoakPlatform, seed: int, size: Size) -> None:
        self._platform = platform
        self._injector = Injector(platform)
        self._seed = seed
        self._size = size
        self._rng = random.Random(seed + 1)
        self._acked = 1
        self._sent = 1

    async def run(self) -> Summary:
        """Return what the seed showed."""
        platform = self._platform
        await platform.open()
        faults = draw_faults(
            self._seed,
            self._size.seconds,
            platform.boxes,
            freezes=self._size.suspended,
        )
        promises = PromiseChecker(platform, self._size.timed)
        callers = Callers(platform, self._seed, promises.on_call)
        calling = asyncio.create_task(callers.run(self._size.callers))
        disturbing = [asyncio.create_task(self._keep_changing(promises))]
        if self._size.same_ids:
            strangers = Strangers(platform, self._seed, promises)
            disturbing.append(asyncio.create_task(strangers.run()))
        deadly = DeadlyCallers(platform, self._seed, promises)
        if self._size.deadly:
            disturbing.append(asyncio.create_task(deadly.run()))
        evacuations = Evacuations(platform, self._seed, promises)
        if self._size.evacuations:
            await evacuations.assign_domain()
            disturbing.append(asyncio.create_task(evacuations.run()))
        rests = Rests(platform, self._seed, promises)
        if self._size.rests:
            disturbing.append(asyncio.create_task(rests.run()))
        await self._do_all(faults)
        for task in disturbing:
            task.cancel()
        await asyncio.gather(*disturbing, return_exceptions=True)
        await self._recover_in_time(promises)
        if self._size.deadly:
            await self._wait_refused(deadly, promises)
        if self._size.evacuations:
            await evacuations.evacuate()
        await self._injector.lose_one_disk_and_all_power()
        await self._recover_in_time(promises)
        if self._size.evacuations:
            await evacuations.check_still_evacuated()
        callers.stop()
        await calling
        if self._size.deadly:
            await deadly.check_refused()
            deadly.check_at_end(timed=self._size.timed)
        if self._size.evacuations:
            evacuations.check_at_end(timed=self._size.timed)
        if self._size.rests:
            rests.check_at_end(timed=self._size.timed)
        promises.check_at_end()
        return self._summary(faults, promises)

    async def _do_all(self, faults: tuple[PlannedFault, ...]) -> None:
        async with asyncio.TaskGroup() as group:
            for planned in faults:
                group.create_task(self._do_later(planned))

    async def _do_later(self, planned: PlannedFault) -> None:
        await asyncio.sleep(planned.at)
        await self._injector.inject(planned)

    async def _keep_changing(self, promises: PromiseChecker) -> None:
        """Change the configuration again and again, and read it back."""
        while True:
            self._sent += self._rng.randint(1, 5)
            status = await self._platform.operator.replace(document(self._sent))
            if status == 200:
                self._acked = self._sent
            else:
                promises.fail("valid change taken", f"status {status}")
            await self._read(promises)
            await asyncio.sleep(self._rng.uniform(0, CHANGE_PAUSE))

    async def _read(self, promises: PromiseChecker) -> None:
        least = self._acked
        promises.on_read(await self._platform.operator.read(), least, self._sent)

    async def _wait_refused(
        self, deadly: DeadlyCallers, promises: PromiseChecker
    ) -> None:
        try:
            await deadly.wait_refused()
        except AssertionError as exc:
            promises.fail("deadly known", str(exc))

    async def _recover_in_time(self, promises: PromiseChecker) -> None:
        try:
            async with asyncio.timeout(RECOVERY_LIMIT):
                await self._recover(promises)
        except (TimeoutError, AssertionError) as exc:
            promises.fail("recovered", f"not within {RECOVERY_LIMIT} s: {exc}")

    async def _recover(self, promises: PromiseChecker) -> None:
        """With all faults mended, everything works again."""
        await self._read(promises)
        for entry in self._platform.entry_ips:
            await self._platform.wait_ready(entry)
            await self._platform.wait_served(entry)
        await self._read(promises)
        await wait_until(
            self._is_whole, "each control box votes, and none that is gone"
        )
        promises.checked["recovered"] += 1

    async def _is_whole(self) -> bool:
        """Tell whether the group is made of the control boxes that run.

        Each of them has to say so: a box that lost its disk votes under its old name
        until it has caught up, and then knows of no voters, or of a learner.
        """
        platform = self._platform
        wanted = set(platform.control_ips)
        return all(
            platform.last_voters(box) == wanted and not platform.last_learners(box)
            for box in wanted
        )

    def _summary(
        self, faults: tuple[PlannedFault, ...], promises: PromiseChecker
    ) -> Summary:
        kinds = [type(planned.fault).__name__ for planned in faults]
        return Summary(
            seed=self._seed,
            faults={kind: kinds.count(kind) for kind in sorted(set(kinds))},
            answers=dict(promises.answers),
            checked=dict(promises.checked),
            broken=tuple(promises.broken),
            lines=self._lines(promises.broken),
        )

    def _lines(self, broken: list[BrokenPromise]) -> tuple[str, ...]:
        """Return the nodes' lines on the requests of broken promises."""
        wanted = {one.request_id for one in broken if one.request_id}
        lines = []
        for log in sorted(self._platform.folder.glob("*.log")):
            for line in log.read_text().splitlines():
                if any(f'"{request_id}"' in line for request_id in wanted):
                    lines.append(line)
        return tuple(lines[:CONTEXT])


async def run_seed(folder: Path, seed: int, size: Size) -> Summary:
    """Run one seed in an empty folder and return what it showed."""
    platform = SoakPlatform(
        folder,
        entries=size.entries,
        states_starts=size.same_ids,
        suspendable=size.suspended,
    )
    try:
        return await Soak(platform, seed, size).run()
    finally:
        await platform.close()
