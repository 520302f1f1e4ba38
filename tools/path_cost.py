"""Measure the cost of the path: added latency, and processor time per token.

Usage:
  path_cost [--seconds N]
  path_cost (-h | --help)

Options:
  --seconds N  Length of each run [default: 5].
"""

from __future__ import annotations

import asyncio
import statistics
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import aiohttp
from docopt import docopt

from leadseam.runtime.connector import DEFAULT_KEEPALIVE_S, LoopConnector
from tools.fleet import Fleet
from tools.load import AccountLoad, Driver, Route, chat_body, entry_route, stream_chat
from tools.measure import cpu_seconds

MODEL = "rates"
PATH = "/v1/chat/completions"
LATENCY_CALLS = 300
WARM_UP = 1.0
"""Seconds of load before the processor time is measured."""


@dataclass(frozen=True, slots=True)
class PathCost:
    """Costs at one load.

    Args:
        streams: Number of concurrent streams.
        tokens: Tokens per second.
        entry: Processor microseconds of the entry per token.
        sidecar: Processor microseconds of the sidecar per token.
    """

    streams: int
    tokens: float
    entry: float
    sidecar: float

    def __str__(self) -> str:
        return (
            f"{self.streams} streams: {self.tokens:.0f} tokens/s,"
            f" entry {self.entry:.0f} us/token, sidecar {self.sidecar:.0f} us/token"
        )


def single_path_fleet(folder: Path, *, slots: int, interval: int) -> Fleet:
    """Return a fleet with one entry, one sidecar and one engine."""
    fleet = Fleet(folder)
    fleet.add_control()
    fleet.add_pool("rates-1", model=MODEL)
    fleet.add_upstream(
        "engine-1", pool="rates-1", kind="engine", slots=slots, token_interval=interval
    )
    fleet.add_account("tellers", models=(MODEL,))
    fleet.add_entry("entry-1")
    return fleet


async def first_token_times(fleet: Fleet, url: str, key: str) -> list[float]:
    """Return the milliseconds to the first token of sequential calls."""
    times = []
    received: Counter[str] = Counter()
    for _ in range(LATENCY_CALLS):
        result = await stream_chat(
            fleet.http, url, key, "", chat_body(MODEL, 1), received
        )
        assert result.complete
        times.append((result.first_byte_at - result.start) * 1_000)
    return times


async def describe_added_latency(folder: Path) -> str:
    """Compare calls through entry and sidecar with direct calls, in alternation."""
    fleet = single_path_fleet(folder, slots=8, interval=0)
    try:
        await fleet.start_all()
        direct_url, path_url = fleet.url("engine-1", PATH), fleet.url("entry-1", PATH)
        direct: list[float] = []
        through_path: list[float] = []
        for _ in range(3):
            direct += await first_token_times(fleet, direct_url, "")
            through_path += await first_token_times(fleet, path_url, "key-tellers")
        added = statistics.median(through_path) - statistics.median(direct)
        return (
            f"first token: direct median {statistics.median(direct):.2f} ms, through"
            f" entry and sidecar {statistics.median(through_path):.2f} ms,"
            f" added {added:.2f} ms ({len(through_path)} calls each)"
        )
    finally:
        await fleet.close()


async def measure_token_cost(
    folder: Path, streams: int, seconds: float, interval: int
) -> PathCost:
    """Measure the processor time per token at a number of concurrent streams."""
    fleet = single_path_fleet(folder, slots=streams, interval=interval)
    try:
        await fleet.start_all()
        async with aiohttp.ClientSession(
            connector=LoopConnector(keepalive=DEFAULT_KEEPALIVE_S)
        ) as http:
            urls = {"entry-1": fleet.url("entry-1", PATH)}
            route: Route = entry_route(http, urls, MODEL)
            load = AccountLoad("tellers", streams, ("entry-1",), (100, 200))
            driver = Driver([load], route)
            running = asyncio.create_task(driver.run_for(seconds + WARM_UP))
            await asyncio.sleep(WARM_UP)
            before = processor_seconds(fleet)
            tokens, start = driver.tokens["tellers"], time.monotonic()
            await asyncio.sleep(seconds - 0.5)
            after = processor_seconds(fleet)
            received = driver.tokens["tellers"] - tokens
            elapsed = time.monotonic() - start
            await running
    finally:
        await fleet.close()
    entry, sidecar = (
        (late - early) / received * 1_000_000
        for late, early in zip(after, before, strict=True)
    )
    return PathCost(streams, received / elapsed, entry, sidecar)


async def describe_request_cost(folder: Path, parallel: int, seconds: float) -> str:
    """Describe the cost of short calls of a plain service by concurrent callers."""
    fleet = Fleet(folder)
    fleet.add_control()
    fleet.add_pool("slips")
    fleet.add_upstream(
        "engine-1", pool="slips", kind="service", slots=64, service_time=0
    )
    fleet.add_account("tellers", services=("slips",))
    fleet.add_entry("entry-1")
    done = 0

    async def run_caller(end: float) -> None:
        nonlocal done
        while time.monotonic() < end:
            status, _ = await fleet.post(
                "entry-1", "/services/slips/run/a", "tellers", b"{}"
            )
            done += status == 200

    try:
        await fleet.start_all()
        before = processor_seconds(fleet)
        end = time.monotonic() + seconds
        await asyncio.gather(*(run_caller(end) for _ in range(parallel)))
        after = processor_seconds(fleet)
    finally:
        await fleet.close()
    entry, sidecar = (
        (late - early) / done * 1_000_000
        for late, early in zip(after, before, strict=True)
    )
    return (
        f"{parallel} callers of short calls: {done / seconds:.0f} requests/s,"
        f" entry {entry:.0f} us/request, sidecar {sidecar:.0f} us/request"
    )


def processor_seconds(fleet: Fleet) -> tuple[float, float]:
    """Return the processor seconds used so far by the entry and by the sidecar."""
    entry = cpu_seconds(fleet.nodes["entry-1"].pid)
    sidecar = cpu_seconds(fleet.nodes["sidecar-engine-1"].pid)
    return entry, sidecar


async def main_async(seconds: float) -> None:
    """Run all measurements and print their results."""
    with tempfile.TemporaryDirectory() as folder:
        print(await describe_added_latency(Path(folder)), flush=True)
    for parallel in (4, 16, 64):
        with tempfile.TemporaryDirectory() as folder:
            print(
                await describe_request_cost(Path(folder), parallel, seconds), flush=True
            )
    for streams in (4, 16, 48):
        with tempfile.TemporaryDirectory() as folder:
            print(
                await measure_token_cost(Path(folder), streams, seconds, 20), flush=True
            )


def main() -> None:
    """Entry point; part of `make slopes`."""
    args = docopt(__doc__)
    asyncio.run(main_async(float(args["--seconds"])))


if __name__ == "__main__":
    main()
