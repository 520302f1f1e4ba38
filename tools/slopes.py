"""Measure how costs grow: bytes, processor time and memory against what causes them.

Usage:
  slopes [--only NAME]
  slopes (-h | --help)

Options:
  --only NAME  Only this slope.

Every slope is a line through at least three points. Links are real (loopback, the
project's own codec); the peers are small fakes in one process. Processor time is the
measured process's own, from the system's accounting.
"""

from __future__ import annotations

import asyncio
import platform
import resource
import statistics
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

import psutil
import uvloop
from docopt import docopt

from leadseam.control.claims import Acquire
from leadseam.control.configuration import Account, Put
from leadseam.control.state import Change, Claims, ControlState
from leadseam.entry.queue import WaitingQueue
from leadseam.entry.request import CallerRequest, Priority, Waiting
from leadseam.fairness.ledger import Ledger
from leadseam.fairness.merge import ServiceMerge
from leadseam.fairness.picker import Picker
from leadseam.sidecar.scheduler import Scheduler
from leadseam.wire.codec import decode_frame, encode, encode_frame
from leadseam.wire.link import Link, dial, listen
from leadseam.wire.messages import (
    Backlog,
    BacklogRow,
    Chunk,
    Current,
    Delta,
    Grant,
    OthersService,
    Service,
    ServiceRow,
)
from leadseam.wire.traffic import Traffic
from tools.fleet import LOOPBACK, Fleet

SAMPLES = 5
MICROS = 1_000_000


@dataclass(frozen=True, slots=True)
class Slope:
    """A line through measured points.

    Args:
        name: What is measured.
        unit: Unit of the slope.
        points: Pairs of cause and cost.
        spread: Largest relative spread between repeated samples of a point.
    """

    name: str
    unit: str
    points: tuple[tuple[float, float], ...]
    spread: float

    @property
    def line(self) -> tuple[float, float]:
        """Slope and intercept by least squares."""
        causes = [cause for cause, _ in self.points]
        costs = [cost for _, cost in self.points]
        fit = statistics.linear_regression(causes, costs)
        return fit.slope, fit.intercept

    @property
    def correlation(self) -> float:
        """How much of a line the points are; 1 is exact."""
        causes = [cause for cause, _ in self.points]
        costs = [cost for _, cost in self.points]
        return statistics.correlation(causes, costs)

    def __str__(self) -> str:
        slope, intercept = self.line
        points = ", ".join(f"{cause:g}: {cost:.4g}" for cause, cost in self.points)
        return (
            f"| {self.name} | {slope:.4g} {self.unit} | {intercept:.4g} |"
            f" {self.correlation:.3f} | {self.spread:.0%} | {points} |"
        )


def cpu_now() -> float:
    """Return processor seconds of this process so far."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def repeated(measure: Callable[[], float]) -> tuple[float, float]:
    """Return the median of `SAMPLES` runs and their relative spread."""
    values = [measure() for _ in range(SAMPLES)]
    median = statistics.median(values)
    spread = (max(values) - min(values)) / median if median else 0.0
    return median, spread


def slope_of(
    name: str, unit: str, causes: tuple[int, ...], measure: Callable[[int], float]
) -> Slope:
    """Measure a cost at each cause."""
    points = []
    spreads = []
    for cause in causes:
        median, spread = repeated(lambda cause=cause: measure(cause))  # type: ignore[misc]
        points.append((float(cause), median))
        spreads.append(spread)
    return Slope(name, unit, tuple(points), max(spreads))


def cpu_of(work: Callable[[], None], repeat: int) -> float:
    """Return processor microseconds of one call of `work`."""
    before = cpu_now()
    for _ in range(repeat):
        work()
    return (cpu_now() - before) / repeat * MICROS


# Sizes of messages: exact, no samples needed


def service_rows(count: int) -> tuple[ServiceRow, ...]:
    """Return rows as large as they are after a month of service."""
    return tuple(
        ServiceRow(f"account-{number:04d}", 10**12 + number, 10**6, 10**9)
        for number in range(count)
    )


def frame_size(count: int) -> float:
    """Return the bytes of a frame with so many service rows."""
    return float(len(encode_frame([Service(service_rows(count))])))


def backlog_size(count: int) -> float:
    """Return the bytes of a frame with so many backlog rows."""
    rows = tuple(BacklogRow(f"account-{n:04d}", 40, 30_000) for n in range(count))
    return float(len(encode_frame([Backlog(rows)])))


def snapshot_size(count: int) -> float:
    """Return the bytes of a snapshot with so many accounts."""
    return float(len(state_with(count).save()))


def state_with(count: int) -> ControlState:
    """Return a control state with so many accounts."""
    state = ControlState()
    rows = tuple(
        Put(Account(f"account-{n:04d}", key_hashes=(f"{n:064x}",)))
        for n in range(count)
    )
    state.apply(Change("seed", 0, rows, "anna"))
    return state


# Processor time of the parts that have no I/O


def cpu_service_codec(count: int) -> float:
    """Encode and decode a frame of service rows."""
    message = Service(service_rows(count))

    def work() -> None:
        decode_frame(encode_frame([message]))

    return cpu_of(work, 40)


def cpu_merge(count: int) -> float:
    """Merge and report rows at an entry that knows 10 sidecars."""
    merge = ServiceMerge()
    rows = service_rows(count)
    for number in range(10):
        merge.connect(f"s{number}", 1)
        merge.update(f"s{number}", rows)
    names = [row.account for row in rows]
    tick = iter(range(1, 10**9))

    def work() -> None:
        grown = next(tick)
        changed = [ServiceRow(n, 10**13 + grown, 0, 0) for n in names]
        merge.update("s0", changed)
        merge.report("s1", names)

    return cpu_of(work, 20)


def cpu_grant(count: int) -> float:
    """Pick, grant, start and finish once with so many accounts waiting."""
    ledger = Ledger()
    scheduler = Scheduler(ledger, Picker(ledger), lambda _: 1)
    scheduler.slots = 1
    for number in range(count):
        row = BacklogRow(f"account-{number:04d}", 10**6, 0)
        scheduler.set_backlog("entry-1", row, 0)

    def work() -> None:
        (lease,) = scheduler.schedule(0)
        scheduler.start("entry-1", lease.grant, lease.account)
        ledger.charge(lease.account, 1_000)
        ledger.reserve(lease.account, -lease.reserved)
        scheduler.finish(lease.account, 1_000)

    return cpu_of(work, 100)


def cpu_change(count: int) -> float:
    """Apply one change of an account to a state with so many."""
    state = state_with(count)
    versions = iter(range(1, 10**6))

    def work() -> None:
        version = next(versions)
        operation = Put(Account("account-0000", share=1 + version % 9))
        state.apply(Change(f"c{version}", version, (operation,), "anna"))

    return cpu_of(work, 20)


def cpu_claim_batch(count: int) -> float:
    """Encode, decode and apply a batch of so many claims."""
    state = ControlState()
    numbers = iter(range(1, 10**9))

    def work() -> None:
        commands = tuple(
            Acquire("account-0001", f"key-{next(numbers)}", 1, "o" * 32)
            for _ in range(count)
        )
        state.apply(Claims(commands, 1))
        encode(commands)

    return cpu_of(work, 20)


# Memory


def memory_of(make: Callable[[int], object], count: int) -> float:
    """Return the bytes that an object of some size takes in a fresh measurement."""
    import gc
    import tracemalloc

    gc.collect()
    tracemalloc.start()
    held = make(count)
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del held
    return float(size)


def waiting_requests(count: int) -> WaitingQueue:
    """Return a queue of requests with bodies of 2 KB, without their HTTP side."""
    queue = WaitingQueue(max_bytes=10**12)
    for number in range(count):
        req = CallerRequest(
            account=f"account-{number % 100}",
            pool="rates-1",
            method="POST",
            path="/v1/chat/completions",
            headers=(("Content-Type", "application/json"),),
            body=bytes(2_048),
            priority=Priority.NORMAL,
            deadline=10**9,
            repeatable=True,
            arrived=number,
        )
        queue.put_back(Waiting(req, number))
    return queue


def claims_held(count: int) -> ControlState:
    """Return a state that holds so many claims."""
    state = ControlState()
    commands = tuple(
        Acquire(f"account-{n % 100}", f"key-{n:08d}", n, f"{n:032x}")
        for n in range(count)
    )
    state.apply(Claims(commands, 1))
    return state


def merged_rows(count: int) -> ServiceMerge:
    """Return an entry's merge of 10 sidecars with so many accounts each."""
    merge = ServiceMerge()
    for number in range(10):
        merge.connect(f"s{number}", 1)
        merge.update(f"s{number}", service_rows(count))
    return merge


# Links: real sockets, both ends in this process


async def with_links(
    count: int, work: Callable[[list[Link], list[Link]], Awaitable[float]]
) -> float:
    """Open so many links on loopback and hand both ends to `work`."""
    far: list[Link] = []
    traffic = Traffic()

    async def accept(link: Link) -> None:
        far.append(link)
        async for _ in link.messages():
            pass

    server = await listen(LOOPBACK, 0, accept, traffic)
    port = next(iter(server.sockets)).getsockname()[1]
    near: list[Link] = []
    contexts = [dial(LOOPBACK, port, traffic) for _ in range(count)]
    for context in contexts:
        near.append(await context.__aenter__())
    readers = [asyncio.create_task(drain(link)) for link in near]
    try:
        return await work(near, far)
    finally:
        for reader in readers:
            reader.cancel()
        for context in contexts:
            await context.__aexit__(None, None, None)
        server.close()


async def drain(link: Link) -> None:
    """Read a link to its end."""
    async for _ in link.messages():
        pass


async def cpu_chunks(per_second: int) -> float:
    """Send chunks of 60 bytes over one link for a second; both ends counted."""

    async def work(near: list[Link], _: list[Link]) -> float:
        before, start = cpu_now(), time.monotonic()
        for tick in range(100):
            for number in range(per_second // 100):
                near[0].send(Chunk(number, tick, bytes(60)))
            await asyncio.sleep(max(0.0, start + (tick + 1) / 100 - time.monotonic()))
        return (cpu_now() - before) / (time.monotonic() - start) * 1_000

    return await with_links(1, work)


async def cpu_idle_links(count: int) -> float:
    """Hold idle links, with their keepalives, for two seconds; both ends counted."""

    async def work(near: list[Link], far: list[Link]) -> float:
        del near, far
        before, start = cpu_now(), time.monotonic()
        await asyncio.sleep(2)
        return (cpu_now() - before) / (time.monotonic() - start) * 1_000

    return await with_links(count, work)


async def resident_with_links(count: int) -> float:
    """Return resident bytes of this process while it holds so many links."""

    async def work(near: list[Link], far: list[Link]) -> float:
        del near, far
        return float(psutil.Process().memory_info().rss)

    return await with_links(count, work)


async def memory_links(count: int) -> float:
    """Return resident bytes of a fresh process that holds both ends of links."""
    code = (
        "import uvloop; from tools.slopes import resident_with_links as run;"
        f"print(uvloop.run(run({count})))"
    )
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return float(out)


async def cpu_heartbeats(count: int) -> float:
    """Send a feed heartbeat to so many subscribers; cost of one round, both ends."""

    async def work(near: list[Link], far: list[Link]) -> float:
        del far
        before = cpu_now()
        for _ in range(10):
            for link in near:
                link.send(Current(12_345))
            await asyncio.sleep(0.05)
        return (cpu_now() - before) / 10 * 1_000

    return await with_links(count, work)


# A real fleet: a change's way and a claim's rate


async def claims_per_second(parallel: int) -> float:
    """Send keyed calls through one entry with so many at a time."""
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
    """Return keyed calls a second, each with a fresh key."""
    end = time.monotonic() + seconds
    done = 0

    async def caller(number: int) -> None:
        nonlocal done
        turn = 0
        while time.monotonic() < end:
            turn += 1
            name = f"c{number}-{turn}"
            headers = {"Idempotency-Key": name, "X-Leadseam-Repeatable": "no"}
            path = f"/services/slips/run/{name}"
            status, _ = await fleet.post("entry-1", path, "tellers", b"{}", headers)
            done += status == 200

    await asyncio.gather(*(caller(number) for number in range(parallel)))
    return done / seconds


async def async_slope(
    name: str,
    unit: str,
    causes: tuple[int, ...],
    measure: Callable[[int], Awaitable[float]],
    samples: int = 3,
) -> Slope:
    """Measure a cost at each cause, with I/O."""
    points = []
    spreads = []
    for cause in causes:
        values = [await measure(cause) for _ in range(samples)]
        median = statistics.median(values)
        points.append((float(cause), median))
        spreads.append((max(values) - min(values)) / median if median else 0.0)
    return Slope(name, unit, tuple(points), max(spreads))


ACCOUNTS = (50, 200, 800)
LINKS = (20, 60, 120)


def plain_slopes() -> list[tuple[str, str, tuple[int, ...], Callable[[int], float]]]:
    """List the slopes without I/O."""
    return [
        ("service frame", "B/row", ACCOUNTS, frame_size),
        ("backlog frame", "B/row", ACCOUNTS, backlog_size),
        ("snapshot", "B/account", ACCOUNTS, snapshot_size),
        ("service codec, both ends", "us/row", ACCOUNTS, cpu_service_codec),
        ("merge and report", "us/row", ACCOUNTS, cpu_merge),
        ("grant", "us/waiting account", ACCOUNTS, cpu_grant),
        ("apply a change", "us/account", ACCOUNTS, cpu_change),
        ("claim batch", "us/claim", (16, 64, 256), cpu_claim_batch),
        (
            "waiting request, 2 KB body",
            "B/request",
            (500, 2_000, 8_000),
            lambda count: memory_of(waiting_requests, count),
        ),
        (
            "claim held",
            "B/claim",
            (500, 2_000, 8_000),
            lambda count: memory_of(claims_held, count),
        ),
        (
            "merge of 10 sidecars",
            "B/account",
            ACCOUNTS,
            lambda count: memory_of(merged_rows, count),
        ),
    ]


def link_slopes() -> list[
    tuple[str, str, tuple[int, ...], Callable[[int], Awaitable[float]]]
]:
    """List the slopes over real links."""
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


def message_sizes() -> dict[str, int]:
    """Return the bytes of single frames that CAPACITY.md counts."""
    row = BacklogRow("account-0001", 40, 30_000)
    operation = Put(Account("account-0001", share=5, key_hashes=("f" * 64,)))
    return {
        "grant": len(encode_frame([Grant(123_456, "account-0001")])),
        "backlog row alone": len(encode_frame([Backlog((row,))])),
        "service row alone": len(encode_frame([Service(service_rows(1))])),
        "others row alone": len(encode_frame([OthersService(service_rows(1))])),
        "chunk less its 60 bytes": len(encode_frame([Chunk(123_456, 99, bytes(60))]))
        - 60,
        "feed heartbeat": len(encode_frame([Current(12_345)])),
        "feed change of an account": len(
            encode_frame([Delta(12_345, encode((operation,)))])
        ),
    }


async def main_async(only: str | None) -> None:
    """Measure and print everything."""
    print(f"Python {platform.python_version()}, {psutil.cpu_count()} processors")
    print("| slope | per unit | intercept | correlation | spread | points |")
    print("|---|---|---|---|---|---|")
    for name, unit, causes, measure in plain_slopes():
        if only in (None, name):
            print(slope_of(name, unit, causes, measure), flush=True)
    for name, unit, causes, run in link_slopes():
        if only in (None, name):
            print(await async_slope(name, unit, causes, run), flush=True)
    if only is None:
        for name, size in message_sizes().items():
            print(f"{name}: {size} B")


def main() -> None:
    """Entry point of `make slopes`."""
    args = docopt(__doc__)
    uvloop.run(main_async(args["--only"]))


if __name__ == "__main__":
    main()
