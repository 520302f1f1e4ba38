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
from leadseam.routing.crash_guard import CrashGuard
from tools.platform.nodes import Platform

if TYPE_CHECKING:
    from tools.platform.nodes import Answer
    from tools.platform.standin import Run

GOOD_INTERVAL = 0.02
"""Seconds between two good requests of one caller."""
DEADLY_INTERVAL = 0.3
MASS_INTERVAL = 0.1
"""Seconds between two random choices of upstreams that crash spontaneously."""
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
    """

    seconds: float
    good: int
    run_time: float
    mass: float
    hot: bool


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
        wrongly_refused: Paths of good requests that were refused as deadly.
    """

    callers: int
    good: Counter[int] = field(default_factory=Counter)
    deadly: Counter[int] = field(default_factory=Counter)
    crashes: list[Run] = field(default_factory=list)
    verdicts: int = 0
    spontaneous: int = 0
    wrongly_refused: set[str] = field(default_factory=set)

    def __str__(self) -> str:
        late = self.crashes[CONVICTION_WEIGHT:]
        after = late[-1].at - self.crashes[CONVICTION_WEIGHT - 1].at if late else 0.0
        return (
            f"| {self.callers} | {sum(self.deadly.values())} | {len(self.crashes)}"
            f" | {after:.2f} | {self.good[200]} / {self.good[502]} / {self.good[503]}"
            f" | {self.verdicts} | {self.spontaneous} | {len(self.wrongly_refused)} |"
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
        self.row = Row(callers)

    async def run(self) -> None:
        """Run all callers until the row ends, and collect its results."""
        async with asyncio.TaskGroup() as group:
            for number in range(self.row.callers):
                group.create_task(self._call_deadly(number))
            for number in range(self._load.good):
                group.create_task(self._call_good(number))
            group.create_task(self._crash_spontaneously())
        servers = self._platform.servers_of("plain")
        runs = [run for server in servers for run in server.crashes]
        self.row.crashes = sorted(runs, key=lambda run: run.at)
        self.row.verdicts = await self._count_verdicts()

    async def _call_deadly(self, number: int) -> None:
        for turn in itertools.count(number):
            if time.monotonic() > self._end:
                return
            answer = await self._call(turn, "/safe/deadly")
            self.row.deadly[answer.status] += 1
            await asyncio.sleep(DEADLY_INTERVAL)

    async def _call_good(self, number: int) -> None:
        for turn in itertools.count(number):
            path = "/safe/hot" if self._load.hot else f"/safe/{number}-{turn}"
            status = 0
            for again in itertools.count():
                if time.monotonic() > self._end:
                    return
                answer = await self._call(turn + again, path)
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
            for server in self._platform.servers_of("plain"):
                if self._rng.random() < self._load.mass * MASS_INTERVAL:
                    self.row.spontaneous += server.crash()

    async def _call(self, turn: int, path: str) -> Answer:
        entries = self._platform.entry_ips
        return await self._platform.call(entries[turn % len(entries)], path)

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
                await platform.add_server(ip, "plain")
            for server in platform.servers_of("plain"):
                server.actions["deadly"] = "crash"
                server.delay = load.run_time
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
    )
    print(
        "| callers | sent | crashed | last late s | good 200/502/503 | refused"
        " | crashed by themselves | innocent |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for callers in args["--callers"].split(","):
        print(asyncio.run(measure(int(callers), load)))
    print(f"a look while nothing is suspected: {check_cost():.2f} us")


if __name__ == "__main__":
    main()
