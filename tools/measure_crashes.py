"""Measure the cost of a request that crashes each upstream which begins it.

Two entries and four plain upstreams run as real processes. Some callers send the deadly
request again 0.3 s after each answer, alternating between the entries. Others send good
requests and resend each until it is answered or the row ends.

Usage:
  measure_crashes [options]
  measure_crashes (-h | --help)

Options:
  --seconds S     Length of each row [default: 10].
  --callers LIST  Numbers of callers of the deadly request; one row for each
                  [default: 1,2,4,8].
  --good N        Callers of good requests [default: 6].
  --run-time S    Seconds that a good request runs [default: 0.02].
  --mass PART     Fraction of the upstreams that crash spontaneously each second
                  [default: 0].
  --hot           All good callers send the same request repeatedly.
  --part          The deadly requests are prompts that share a deadly part, and no two
                  of them are alike; good ones share all other parts.
"""

from __future__ import annotations

import asyncio
import itertools
import random
import tempfile
import time
import timeit
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from docopt import docopt

from leadseam.clock import ManualClock
from leadseam.platform import names
from leadseam.routing.crash_guard import CrashGuard
from tools.platform.nodes import Platform
from tools.platform.standin import EVENTS

if TYPE_CHECKING:
    from tools.platform.nodes import Answer
    from tools.platform.standin import Run

GOOD_INTERVAL = 0.02
"""Seconds between two good requests of one caller."""
DEADLY_INTERVAL = 0.3
MASS_INTERVAL = 0.1
"""Seconds between two random choices of upstreams that crash spontaneously."""
DEADLY_PART = "dead01"
SOUND_PART = "500d01"
SHARED_PARTS = ("5a5a01", "5a5a02")
TOLERATED_CRASHES = 5
"""Crashes by a part that are tolerated before sends count as late."""
LATE_AFTER = 3.0
"""Seconds after these crashes from which sends count."""
CONVICTION_WEIGHT = 3
"""Crashed upstreams after which a request is refused."""
CHECKS = 100_000
"""Number of calls over which the cost of a check is averaged."""


@dataclass(frozen=True)
class Load:
    """Load beside the deadly request.

    Args:
        seconds: Length of a row.
        good: Callers of good requests.
        run_time: Seconds that a good request runs.
        mass: Fraction of the upstreams that crash spontaneously each second.
        hot: Whether all good requests are the same.
        part: Whether a part of prompts is deadly, and not one request.
    """

    seconds: float
    good: int
    run_time: float
    mass: float
    hot: bool
    part: bool

    @property
    def service(self) -> str:
        """Service that the requests go to."""
        return "model" if self.part else "plain"


@dataclass
class Row:
    """Results for one number of callers.

    Args:
        callers: Callers of the deadly request.
        good: Good requests by status.
        deadly: Deadly requests by status.
        crashes: Runs that crashed an upstream, in order of time.
        verdicts: Requests that are refused at the end.
        spontaneous: Upstreams that crashed without a request that caused it.
        late: Deadly requests that reached upstreams later than `LATE_AFTER` after the
            last crash that is tolerated.
        wrongly_refused: Paths of good requests that were refused as deadly.
    """

    callers: int
    good: Counter[int] = field(default_factory=Counter)
    deadly: Counter[int] = field(default_factory=Counter)
    crashes: list[Run] = field(default_factory=list)
    verdicts: int = 0
    spontaneous: int = 0
    late: int = 0
    wrongly_refused: set[str] = field(default_factory=set)

    def __str__(self) -> str:
        late = self.crashes[CONVICTION_WEIGHT:]
        after = late[-1].at - self.crashes[CONVICTION_WEIGHT - 1].at if late else 0.0
        return (
            f"| {self.callers} | {sum(self.deadly.values())} | {len(self.crashes)}"
            f" | {after:.2f} | {self.good[200]} / {self.good[502]} / {self.good[503]}"
            f" | {self.verdicts} | {self.spontaneous} | {len(self.wrongly_refused)}"
            f" | {self.late} |"
        )


class Experiment:
    """Runs the callers of one row.

    Args:
        platform: Running nodes and servers.
        callers: Callers of the deadly request.
        load: Load beside the deadly request.
    """

    def __init__(self, platform: Platform, callers: int, load: Load) -> None:
        self._platform = platform
        self._load = load
        self._rng = random.Random(callers)
        self._end = time.monotonic() + load.seconds
        self._own_parts = itertools.count(1)
        self.row = Row(callers)

    async def run(self) -> None:
        """Run all callers until the row ends, and collect its results."""
        async with asyncio.TaskGroup() as group:
            for number in range(self.row.callers):
                group.create_task(self._call_deadly(number))
            for number in range(self._load.good):
                group.create_task(self._call_good(number))
            group.create_task(self._crash_spontaneously())
        servers = self._platform.servers_of(self._load.service)
        runs = [run for server in servers for run in server.crashes]
        self.row.crashes = sorted(runs, key=lambda run: run.at)
        if len(runs) >= TOLERATED_CRASHES:
            limit = self.row.crashes[TOLERATED_CRASHES - 1].at + LATE_AFTER
            arrivals = (one for server in servers for one in server.part_arrivals)
            self.row.late = sum(arrival.at > limit for arrival in arrivals)
        self.row.verdicts = await self._count_verdicts()

    async def _call_deadly(self, number: int) -> None:
        for turn in itertools.count(number):
            if time.monotonic() > self._end:
                return
            answer = await self._call(turn, "/safe/deadly", DEADLY_PART)
            self.row.deadly[answer.status] += 1
            await asyncio.sleep(DEADLY_INTERVAL)

    async def _call_good(self, number: int) -> None:
        for turn in itertools.count(number):
            path = "/safe/hot" if self._load.hot else f"/safe/{number}-{turn}"
            status = 0
            for again in itertools.count():
                if time.monotonic() > self._end:
                    return
                answer = await self._call(turn + again, path, SOUND_PART)
                status = answer.status
                self.row.good[status] += 1
                if b'"crashes_upstreams"' in answer.body:
                    self.row.wrongly_refused.add(path)
                await asyncio.sleep(GOOD_INTERVAL)
                if status == 200:
                    break

    async def _crash_spontaneously(self) -> None:
        while time.monotonic() < self._end and self._load.mass:
            await asyncio.sleep(MASS_INTERVAL)
            for server in self._platform.servers_of(self._load.service):
                if self._rng.random() < self._load.mass * MASS_INTERVAL:
                    self.row.spontaneous += server.crash()

    async def _call(self, turn: int, path: str, part: str) -> Answer:
        entries = self._platform.entry_ips
        entry = entries[turn % len(entries)]
        if not self._load.part:
            return await self._platform.call(entry, path)
        own = f"{next(self._own_parts):x}"
        parts = ",".join(f"{one}:100" for one in (*SHARED_PARTS, part, own))
        return await self._platform.call(
            entry,
            "/stream/chat",
            headers={names.PROMPT_PARTS: parts},
            body=own.encode(),
        )

    async def _count_verdicts(self) -> int:
        platform = self._platform
        address = platform.metrics_address(platform.control_ips[0])
        async with platform.http.get(f"http://{address}/verdicts") as resp:
            return len(await resp.json()) if resp.status == 200 else 0


async def measure(callers: int, load: Load) -> Row:
    """Return the results for one number of callers."""
    with tempfile.TemporaryDirectory() as folder:
        platform = Platform(Path(folder))
        try:
            await platform.start_all()
            for ip in platform.server_ips[4:6]:
                await platform.add_server(ip, load.service)
            for server in platform.servers_of(load.service):
                server.actions["deadly"] = "crash"
                server.deadly_parts.add(DEADLY_PART)
                server.delay = load.run_time / EVENTS if load.part else load.run_time
            experiment = Experiment(platform, callers, load)
            await experiment.run()
            return experiment.row
        finally:
            await platform.close()


def check_cost() -> float:
    """Return the microseconds of one check while no request is suspected."""
    guard = CrashGuard(
        feed=cast("Any", None),
        client=cast("Any", None),
        clock=ManualClock(),
        running=(),
    )
    admitted = cast("Any", SimpleNamespace(account="bank", body=b"x" * 2_000))
    elapsed = timeit.timeit(lambda: guard.refusal(admitted), number=CHECKS)
    return elapsed / CHECKS * 1e6


def main() -> None:
    """Entry point."""
    args = docopt(__doc__)
    load = Load(
        seconds=float(args["--seconds"]),
        good=int(args["--good"]),
        run_time=float(args["--run-time"]),
        mass=float(args["--mass"]),
        hot=args["--hot"],
        part=args["--part"],
    )
    print(
        "| callers | sent | crashed | last late s | good 200/502/503 | refused"
        " | crashed by themselves | innocent | late |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for callers in args["--callers"].split(","):
        print(asyncio.run(measure(int(callers), load)))
    print(f"a look while nothing is suspected: {check_cost():.2f} us")


if __name__ == "__main__":
    main()
