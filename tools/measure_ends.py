"""Weighs ways to judge an answer that ended with its connection, between two events.

    python -m tools.measure_ends [--trials N]

An upstream process answers with neither a length nor chunks and writes whole events.
It is killed in the middle of its answers, finishes them, or finishes them and exits.
Each way judges every end as broken or whole. The table gives the share judged broken,
which should be 1 in the first case and 0 in the others, and the time of the check.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import signal
import statistics
import sys
import time
from collections import defaultdict
from dataclasses import dataclass, field
from enum import StrEnum

import aiohttp
import uvloop
from docopt import docopt

from leadseam.clock import SystemClock
from leadseam.routing.client import UpstreamClient
from tools.ports import LOOPBACK, is_refused

USAGE = """Usage: measure_ends [--trials N] [--serve ENDING]

Options:
  --trials N      Upstreams for each row [default: 20].
  --serve ENDING  Run as the upstream of a measurement.
"""
EVENTS = 40
MORE_EVENTS = 60
EVENT_PAUSE = 0.005
EVENT = b"id: %d\ndata: piece\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
WINDOWS = (0.005, 0.05)
"""Seconds within which another connection must end as well."""
STREAMS = (1, 2, 8)
"""Concurrent answers of the upstream at one entry."""


class Ending(StrEnum):
    """What happens to the upstream."""

    KILLED = "killed"
    RUNS_ON = "runs on"
    EXITS = "exits after its last answer"


async def serve(ending: Ending) -> None:
    """Answer requests, each a few ms after the one before; print the port first."""
    running = 0
    done = asyncio.Event()

    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        nonlocal running
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            writer.close()
            return
        running += 1
        writer.write(HEAD)
        for number in range(EVENTS + random.randrange(MORE_EVENTS)):
            writer.write(EVENT % (number + 1))
            await asyncio.sleep(EVENT_PAUSE)
        writer.close()
        await writer.wait_closed()
        running -= 1
        if not running and ending is Ending.EXITS:
            done.set()

    server = await asyncio.start_server(answer, LOOPBACK, 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await done.wait()
    os._exit(0)


@dataclass
class Ends:
    """Ends of the answers of one upstream, as the entry sees them."""

    at: list[float] = field(default_factory=list)
    refused: list[bool] = field(default_factory=list)
    took: list[float] = field(default_factory=list)


async def read_all(client: UpstreamClient, port: int, streams: int) -> Ends:
    """Read answers, and check at the end of each whether the upstream is gone."""
    ends = Ends()

    async def read() -> None:
        resp = await client.send(
            LOOPBACK,
            port,
            method="GET",
            target="/",
            headers=[],
            body=b"",
            repeatable=True,
        )
        try:
            while await resp.content.readany():
                pass
        except aiohttp.ClientError:
            return
        ended = time.perf_counter()
        refused = await is_refused(LOOPBACK, port)
        ends.took.append(time.perf_counter() - ended)
        ends.at.append(ended)
        ends.refused.append(refused)

    await asyncio.gather(*(read() for _ in range(streams)))
    return ends


async def try_once(client: UpstreamClient, ending: Ending, streams: int) -> Ends:
    """Run one upstream and read its answers."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tools.measure_ends",
        "--serve",
        ending,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None
    port = int(await process.stdout.readline())
    reading = asyncio.create_task(read_all(client, port, streams))
    if ending is Ending.KILLED:
        await asyncio.sleep(EVENTS * EVENT_PAUSE / 2)
        process.send_signal(signal.SIGKILL)
    ends = await reading
    if process.returncode is None and ending is Ending.RUNS_ON:
        process.kill()
    await process.wait()
    return ends


def judge_by_others(ends: Ends, window: float) -> list[bool]:
    """Return for each end whether another answer ended within the window."""
    return [
        any(
            other is not index and abs(at - ends.at[other]) <= window
            for other in range(len(ends.at))
        )
        for index, at in enumerate(ends.at)
    ]


async def measure(trials: int) -> None:
    """Print the table."""
    client = UpstreamClient(SystemClock())
    print("upstream, streams: share judged broken by each way; ms of the check")
    for ending, streams in itertools.product(Ending, STREAMS):
        broken: defaultdict[str, list[bool]] = defaultdict(list)
        took: list[float] = []
        for _ in range(trials):
            ends = await try_once(client, ending, streams)
            broken["connection refused"] += ends.refused
            took += ends.took
            for window in WINDOWS:
                name = f"another within {window * 1_000:.0f} ms"
                broken[name] += judge_by_others(ends, window)
        shares = ", ".join(
            f"{name} {statistics.mean(values):.3f}" for name, values in broken.items()
        )
        took.sort()
        median, worst = statistics.median(took) * 1_000, took[-1] * 1_000
        print(f"{ending}, {streams}: n={len(took)} {shares}; {median:.2f}, {worst:.2f}")
    await client.close()


def main() -> None:
    """Measure, or serve as the upstream of a measurement."""
    args = docopt(USAGE)
    if args["--serve"]:
        uvloop.run(serve(Ending(args["--serve"])))
    else:
        uvloop.run(measure(int(args["--trials"])))


if __name__ == "__main__":
    main()
