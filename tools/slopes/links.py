"""Costs of real links with both ends in this process, and of calls through a fleet."""

from __future__ import annotations

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import TYPE_CHECKING

import psutil

from leadseam.wire.dispatch import Chunk
from leadseam.wire.feed import Current
from leadseam.wire.link import Link, dial, listen
from leadseam.wire.traffic import Traffic
from tools.fleet import Fleet
from tools.ports import LOOPBACK
from tools.slopes.sampling import cpu_now

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

LINKS = (20, 60, 120)


async def with_links(
    count: int, workload: Callable[[list[Link], list[Link]], Awaitable[float]]
) -> float:
    """Open this many links on loopback and pass both ends to `workload`."""
    remote_links: list[Link] = []
    traffic = Traffic()

    async def accept(link: Link) -> None:
        remote_links.append(link)
        async for _ in link.messages():
            pass

    server = await listen(LOOPBACK, 0, accept, traffic)
    port = next(iter(server.sockets)).getsockname()[1]
    local_links: list[Link] = []
    contexts = [dial(LOOPBACK, port, traffic) for _ in range(count)]
    for context in contexts:
        local_links.append(await context.__aenter__())
    readers = [asyncio.create_task(drain(link)) for link in local_links]
    try:
        return await workload(local_links, remote_links)
    finally:
        for reader in readers:
            reader.cancel()
        for context in contexts:
            await context.__aexit__(None, None, None)
        server.close()


async def drain(link: Link) -> None:
    """Read and discard the messages of a link until it closes."""
    async for _ in link.messages():
        pass


async def cpu_chunks(per_second: int) -> float:
    """Send chunks of 60 bytes over one link for a second; counts both ends."""

    async def workload(local_links: list[Link], _: list[Link]) -> float:
        before, start = cpu_now(), time.monotonic()
        for tick in range(100):
            for number in range(per_second // 100):
                local_links[0].send(Chunk(number, tick, bytes(60)))
            await asyncio.sleep(max(0.0, start + (tick + 1) / 100 - time.monotonic()))
        return (cpu_now() - before) / (time.monotonic() - start) * 1_000

    return await with_links(1, workload)


async def cpu_idle_links(count: int) -> float:
    """Keep idle links with keepalives open for two seconds; counts both ends."""

    async def workload(local_links: list[Link], remote_links: list[Link]) -> float:
        del local_links, remote_links
        before, start = cpu_now(), time.monotonic()
        await asyncio.sleep(2)
        return (cpu_now() - before) / (time.monotonic() - start) * 1_000

    return await with_links(count, workload)


async def resident_with_links(count: int) -> float:
    """Return the resident bytes of this process while this many links are open."""

    async def workload(local_links: list[Link], remote_links: list[Link]) -> float:
        del local_links, remote_links
        return float(psutil.Process().memory_info().rss)

    return await with_links(count, workload)


async def memory_links(count: int) -> float:
    """Return the resident bytes of a new process that holds both ends of the links."""
    code = (
        "import uvloop; from tools.slopes.links import resident_with_links as run;"
        f"print(uvloop.run(run({count})))"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return float(out)


async def cpu_heartbeats(count: int) -> float:
    """Send a feed heartbeat to this many subscribers; cost per round, both ends."""

    async def workload(local_links: list[Link], remote_links: list[Link]) -> float:
        del remote_links
        before = cpu_now()
        for _ in range(10):
            for link in local_links:
                link.send(Current(12_345))
            await asyncio.sleep(0.05)
        return (cpu_now() - before) / 10 * 1_000

    return await with_links(count, workload)


async def claims_per_second(parallel: int) -> float:
    """Send keyed calls through one entry by this many concurrent callers."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(Path(folder))
        fleet.add_control()
        fleet.add_pool("slips")
        fleet.add_upstream(
            "slips-1", pool="slips", kind="service", slots=64, service_time=0
        )
        fleet.add_account("tellers", services=("slips",))
        fleet.add_entry("entry-1")
        try:
            await fleet.start_all()
            return await keyed_calls(fleet, parallel, 3.0)
        finally:
            await fleet.close()


async def keyed_calls(fleet: Fleet, parallel: int, seconds: float) -> float:
    """Return the keyed calls per second, each call with a new key."""
    end = time.monotonic() + seconds
    done = 0

    async def run_caller(number: int) -> None:
        nonlocal done
        turn = 0
        while time.monotonic() < end:
            turn += 1
            name = f"c{number}-{turn}"
            headers = {"Idempotency-Key": name, "X-Leadseam-Repeatable": "no"}
            path = f"/services/slips/run/{name}"
            status, _ = await fleet.post("entry-1", path, "tellers", b"{}", headers)
            done += status == 200

    await asyncio.gather(*(run_caller(number) for number in range(parallel)))
    return done / seconds


def link_slopes() -> list[
    tuple[str, str, tuple[int, ...], Callable[[int], Awaitable[float]]]
]:
    """Return name, unit, sizes and measurement of each slope over real links."""
    return [
        (
            "chunks on a link, both ends",
            "ms CPU/s per chunk/s",
            (500, 2_000, 8_000),
            cpu_chunks,
        ),
        ("idle links, both ends", "ms CPU/s per link", LINKS, cpu_idle_links),
        ("links, both ends", "B/link", LINKS, memory_links),
        ("feed heartbeat, both ends", "ms CPU/subscriber", LINKS, cpu_heartbeats),
        ("keyed calls, one entry", "calls/s per caller", (1, 4, 16), claims_per_second),
    ]
