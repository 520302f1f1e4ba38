"""Runs one seed of the soak from start to end."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tools.platform.nodes import document
from tools.soak.callers import CALL_PREFIX, Callers
from tools.soak.crowds import DESCRIPTORS, LIMITS, MEMORY_MB, Crowds
from tools.soak.deadly import DeadlyCallers
from tools.soak.deadly_parts import DeadlyPartCallers
from tools.soak.evacuations import Evacuations
from tools.soak.injector import Injector
from tools.soak.invalid_registrations import InvalidRegistrations
from tools.soak.pauses import ServerPauses
from tools.soak.plan import draw_faults
from tools.soak.promise_checker import PromiseChecker
from tools.soak.refusals import RETRY_SLACK, Refusals
from tools.soak.soak_platform import EVENT_PAUSE, SoakPlatform
from tools.spoil.judge import Judge
from tools.spoil.mutations import LINE_ENDS, Mutation
from tools.spoil.spoiler import EVENTS, Spoiler
from tools.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from tools.soak.plan import PlannedFault
    from tools.soak.promise_checker import BrokenPromise

MAX_CHANGE_PAUSE = 0.7
"""Longest interval between two changes of the configuration, in seconds."""
RECOVERY_LIMIT = 90
"""Seconds in which everything must work again once all faults are repaired; far above
the users' 15, since a box that runs other work is slow to start processes."""
SPOILT_FRACTION = 0.2
"""Fraction of the answers that are mutated, if any are."""
MAX_LOG_LINES = 12
"""Most log lines that are printed for the requests of broken promises."""


@dataclass(frozen=True, slots=True)
class SoakOptions:
    """Size of a run, and what is run in it.

    Args:
        seconds: Length of the interval in which faults begin.
        entries: Number of entry boxes.
        callers: Callers per entry.
        timed: Whether time limits are checked.
        same_ids: Whether servers restart under the same id, while invalid registrations
            are sent to the control boxes.
        deadly: Whether some requests crash the servers that begin them.
        deadly_part: Whether a part of some prompts does.
        suspended: Whether frozen boxes are suspended, so that their steady clocks leave
            out that time.
        evacuations: Whether an operator repeatedly evacuates a failure domain.
        pauses: Whether servers refuse everything and ask for pauses, or announce only
            in answers that they leave.
        versions: Number of software versions of the model servers.
        refusals: Whether servers refuse or fail requests while entries are killed in
            series.
        unframed: Whether answers without a length or chunks are sent and broken off.
        spoil: Whether servers mutate some of their answers.
        crowds: Whether crowds of clients leave their requests unfinished at entries.
        other_sources: Folder with the sources of another build that runs beside this
            one; empty for none.
    """

    seconds: float = 20.0
    entries: int = 2
    callers: int = 6
    timed: bool = True
    same_ids: bool = False
    deadly: bool = False
    deadly_part: bool = False
    suspended: bool = False
    evacuations: bool = False
    pauses: bool = False
    versions: int = 1
    refusals: bool = False
    unframed: bool = False
    spoil: bool = False
    crowds: bool = False
    other_sources: str = ""


@dataclass(frozen=True, slots=True)
class Summary:
    """Result of one seed.

    Args:
        seed: The seed.
        faults: Number of injected faults by kind.
        answers: Number of calls by status; 0 for those that were cut.
        starts: Starts of processes by build, if there are two.
        checked: Number of checks by promise.
        resumed: Streams that callers resumed, by whether they were finished.
        verdicts: What callers got of answers that servers may have mutated.
        broken: Promises that were not kept.
        log_lines: Log lines of the requests of broken promises.
    """

    seed: int
    faults: dict[str, int]
    answers: dict[int, int]
    starts: dict[str, int]
    checked: dict[str, int]
    resumed: dict[str, int]
    verdicts: dict[str, int]
    broken: tuple[BrokenPromise, ...]
    log_lines: tuple[str, ...]

    def __str__(self) -> str:
        verdict = "BROKEN" if self.broken else "kept"
        parts = [f"seed {self.seed}: {verdict}", f"faults {self.faults}"]
        parts += [f"answers {dict(sorted(self.answers.items()))}"]
        parts += [f"checked {self.checked}"]
        if self.starts:
            parts += [f"starts {self.starts}"]
        if self.resumed:
            parts += [f"resumed {self.resumed}"]
        if self.verdicts:
            parts += [f"verdicts {dict(sorted(self.verdicts.items()))}"]
        return "\n  ".join([*parts, *map(str, self.broken), *self.log_lines])


class SoakRun:
    """Runs one seed.

    Args:
        platform: The nodes, servers and links, not started yet.
        seed: Seed for faults and calls.
        options: Size of the run, and what is run in it.
    """

    def __init__(self, platform: SoakPlatform, seed: int, options: SoakOptions) -> None:
        self._platform = platform
        self._injector = Injector(platform)
        self._seed = seed
        self._options = options
        self._rng = random.Random(seed + 1)
        self._acknowledged_version = 1
        self._sent_version = 1

    async def run(self) -> Summary:
        """Run the seed and return its result."""
        platform = self._platform
        await platform.open()
        faults = draw_faults(
            self._seed,
            self._options.seconds,
            platform.boxes,
            freezes=self._options.suspended,
        )
        promises = PromiseChecker(platform, self._options.timed)
        callers = Callers(platform, self._seed, promises.on_call)
        calling = asyncio.create_task(callers.run(self._options.callers))
        background_tasks = [
            asyncio.create_task(self._keep_changing_configuration(promises))
        ]
        if self._options.same_ids:
            invalid_registrations = InvalidRegistrations(platform, self._seed, promises)
            background_tasks.append(asyncio.create_task(invalid_registrations.run()))
        deadly = self._deadly_callers(promises)
        for deadly_callers in deadly:
            background_tasks.append(asyncio.create_task(deadly_callers.run()))
        evacuations = Evacuations(platform, self._seed, promises)
        if self._options.evacuations:
            await evacuations.assign_domain()
            background_tasks.append(asyncio.create_task(evacuations.run()))
        pauses = ServerPauses(platform, self._seed, promises)
        if self._options.pauses:
            background_tasks.append(asyncio.create_task(pauses.run()))
        if self._options.crowds:
            crowds = Crowds(platform, self._seed, promises)
            background_tasks.append(asyncio.create_task(crowds.run()))
        if self._options.refusals:
            refusals = Refusals(platform, self._injector, self._seed)
            background_tasks.append(asyncio.create_task(refusals.run()))
        await self._inject_all(faults)
        for task in background_tasks:
            task.cancel()
        await asyncio.gather(*background_tasks, return_exceptions=True)
        await self._check_recovery_in_time(promises)
        for deadly_callers in deadly:
            await self._wait_refused(deadly_callers, promises)
        if self._options.evacuations:
            await evacuations.evacuate()
        await self._injector.lose_one_disk_and_all_power()
        await self._check_recovery_in_time(promises)
        if self._options.evacuations:
            await evacuations.check_still_evacuated()
        callers.stop()
        await calling
        for deadly_callers in deadly:
            await deadly_callers.check_refused()
            deadly_callers.check_at_end(timed=self._options.timed)
        if self._options.evacuations:
            evacuations.check_at_end(timed=self._options.timed)
        if self._options.pauses:
            pauses.check_at_end(timed=self._options.timed)
        promises.check_at_end()
        return self._summary(faults, promises)

    def _deadly_callers(self, promises: PromiseChecker) -> list[DeadlyCallers]:
        deadly = []
        if self._options.deadly:
            deadly.append(DeadlyCallers(self._platform, self._seed, promises))
        if self._options.deadly_part:
            deadly.append(DeadlyPartCallers(self._platform, self._seed, promises))
        return deadly

    async def _inject_all(self, faults: tuple[PlannedFault, ...]) -> None:
        async with asyncio.TaskGroup() as group:
            for planned in faults:
                group.create_task(self._inject_later(planned))

    async def _inject_later(self, planned: PlannedFault) -> None:
        await asyncio.sleep(planned.at)
        await self._injector.inject(planned)

    async def _keep_changing_configuration(self, promises: PromiseChecker) -> None:
        """Repeatedly change the configuration and read it back."""
        while True:
            self._sent_version += self._rng.randint(1, 5)
            changes = {"limits": LIMITS} if self._options.crowds else {}
            status = await self._platform.operator.replace(
                document(self._sent_version, **changes)
            )
            if status == 200:
                self._acknowledged_version = self._sent_version
            else:
                promises.fail("valid change taken", f"status {status}")
            await self._check_read_back(promises)
            await asyncio.sleep(self._rng.uniform(0, MAX_CHANGE_PAUSE))

    async def _check_read_back(self, promises: PromiseChecker) -> None:
        least = self._acknowledged_version
        promises.on_read(
            await self._platform.operator.read(), least, self._sent_version
        )

    async def _wait_refused(
        self, deadly: DeadlyCallers, promises: PromiseChecker
    ) -> None:
        try:
            await deadly.wait_refused()
        except AssertionError as exc:
            promises.fail("deadly known", str(exc))

    async def _check_recovery_in_time(self, promises: PromiseChecker) -> None:
        try:
            async with asyncio.timeout(RECOVERY_LIMIT):
                await self._check_recovery(promises)
        except (TimeoutError, AssertionError) as exc:
            promises.fail("recovered", f"not within {RECOVERY_LIMIT} s: {exc}")

    async def _check_recovery(self, promises: PromiseChecker) -> None:
        """Check that everything works again once all faults are repaired."""
        await self._check_read_back(promises)
        for entry in self._platform.entry_ips:
            await self._platform.wait_ready(entry)
            await self._platform.wait_served(entry)
        await self._check_read_back(promises)
        await wait_until(
            self._group_is_complete, "exactly the running control boxes are voters"
        )
        promises.checked["recovered"] += 1

    async def _group_is_complete(self) -> bool:
        """Return whether the voters of the group are exactly the running control boxes.

        Each box has to report so: a box that lost its disk is a voter under its old
        name until it has caught up; until then it knows no voters, or knows a learner.
        """
        platform = self._platform
        expected = set(platform.control_ips)
        return all(
            platform.last_voters(box) == expected and not platform.last_learners(box)
            for box in expected
        )

    def _summary(
        self, faults: tuple[PlannedFault, ...], promises: PromiseChecker
    ) -> Summary:
        kinds = [type(planned.fault).__name__ for planned in faults]
        return Summary(
            seed=self._seed,
            faults={kind: kinds.count(kind) for kind in sorted(set(kinds))},
            answers=dict(promises.answers),
            starts=dict(self._platform.starts),
            checked=dict(promises.checked),
            resumed=dict(promises.resumed),
            verdicts=dict(promises.verdicts),
            broken=tuple(promises.broken),
            log_lines=self._log_lines(promises.broken),
        )

    def _log_lines(self, broken: list[BrokenPromise]) -> tuple[str, ...]:
        """Return the nodes' log lines of the requests of broken promises."""
        expected = {one.request_id for one in broken if one.request_id}
        log_lines = []
        for log in sorted(self._platform.folder.glob("*.log")):
            for line in log.read_text().splitlines():
                if any(f'"{request_id}"' in line for request_id in expected):
                    log_lines.append(line)
        return tuple(log_lines[:MAX_LOG_LINES])


def _spoiler(seed: int) -> Spoiler:
    return Spoiler(
        Judge(EVENTS),
        seed,
        CALL_PREFIX,
        frozenset(Mutation) - LINE_ENDS,
        first_fraction=SPOILT_FRACTION,
        later_fraction=SPOILT_FRACTION,
        delay=EVENT_PAUSE,
    )


async def run_seed(folder: Path, seed: int, options: SoakOptions) -> Summary:
    """Run one seed in an empty folder and return its result."""
    platform = SoakPlatform(
        folder,
        entries=options.entries,
        reports_starts=options.same_ids,
        suspendable=options.suspended,
        versions=options.versions,
        unframed=options.unframed,
        other_sources=options.other_sources,
        spoiler=_spoiler(seed) if options.spoil else None,
    )
    if options.refusals:
        platform.retry_slack = RETRY_SLACK
    if options.crowds:
        platform.limits = {
            "limits.memoryMb": MEMORY_MB,
            "limits.maxFds": DESCRIPTORS,
        }
    try:
        return await SoakRun(platform, seed, options).run()
    finally:
        await platform.close()
