"""Weighs ways to tell whole answers from those that a kill of their upstream cut short.

    python -m tools.measure_kills [options]

An upstream process, with a thread for each connection, sends event streams that end
with their connection. It is killed in the middle of them, or finishes them and runs on.
Either its port or its answers are closed first, and a successor may take over the port.
A row tells how many cut answers pass for whole ones, or whole ones for broken ones, the
time that the judgement takes, and the connections opened for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import itertools
import os
import random
import re
import signal
import socket
import statistics
import subprocess
import sys
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import aiohttp
import uvloop
from docopt import docopt

from leadseam.answer_end import AnswerEnd, Close, Completeness, Framing
from leadseam.clock import SystemClock
from leadseam.incarnation import Incarnation
from leadseam.platform import names
from leadseam.platform.headers import PlatformDialect
from leadseam.routing.client import UpstreamClient
from leadseam.runtime.timeouts import Timeouts
from leadseam.sidecar import upstream as sidecar
from leadseam.wire.dispatch import Chunk, Dispatch, Head
from tools.ports import LOOPBACK, is_refused

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

USAGE = """Usage:
  measure_kills [--way WAY] [--kills N] [--wholes N] [--seed N] [--streams N]
  measure_kills --serve ORDER
  measure_kills --succeed PORT

Options:
  --way WAY       One of: one look, two looks, entry, sidecar [default: entry].
  --kills N       Cut answers in all [default: 2000].
  --wholes N      Whole answers in all [default: 2000].
  --streams N     Only rows with so many answers of the upstream at once.
  --seed N        Seed of the lengths of answers and of the kills [default: 1].
  --serve ORDER   Run as an upstream; its port is closed `first` or `last`.
  --succeed PORT  Run as the successor of an upstream.
"""
EVENTS = 100
MORE_EVENTS = 30
EVENT_PAUSE = 0.005
EVENT = b"id: %d\ndata: piece\n\n"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
HIGH_DESCRIPTOR = 900
"""Number of the descriptor of a port that is closed behind or ahead of the answers."""
STREAMS = (1, 8, 64)
ORDERS = ("first", "last")
RESTARTS = (None, 0.0, 0.005, 0.05)
"""Seconds after which a successor listens, or None for no successor."""
SECOND_LOOK = 0.05
CHECK_TIMEOUT = 300
HEALTH_PATH = "/health"
REQUEST = Dispatch(1, 1, "bank", "GET", "/x", (), b"", False, 0, 0, 10_000_000)


class Way(StrEnum):
    """How an end is judged."""

    ONE_LOOK = "one look"
    TWO_LOOKS = "two looks"
    ENTRY = "entry"
    SIDECAR = "sidecar"


def serve(listener: socket.socket, instance: str) -> None:
    """Answer requests, each with a thread of its own."""
    lengths = random.Random(instance)
    while True:
        conn, _ = listener.accept()
        length = EVENTS + lengths.randrange(MORE_EVENTS)
        threading.Thread(target=answer, args=(conn, instance, length)).start()


def answer(conn: socket.socket, instance: str, length: int) -> None:
    """Answer one request and close its connection."""
    with conn, contextlib.suppress(OSError):
        head = b""
        while b"\r\n\r\n" not in head:
            data = conn.recv(65_536)
            if not data:
                return
            head += data
        expected = re.search(rb"(?i)expect-instance: (\S+)", head)
        if expected is not None and expected[1] != instance.encode():
            conn.sendall(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        if head.split()[1] == HEALTH_PATH.encode():
            named = f"{names.INSTANCE}: {instance}\r\n" if expected is not None else ""
            conn.sendall(
                f"HTTP/1.1 200 OK\r\n{named}Content-Length: 0\r\n\r\n".encode()
            )
            return
        conn.sendall(HEAD)
        for number in range(length):
            conn.sendall(EVENT % (number + 1))
            time.sleep(EVENT_PAUSE)


def run_upstream(order: str) -> None:
    """Serve on a new port, and print it."""
    listener = socket.create_server((LOOPBACK, 0), backlog=128)
    port = listener.getsockname()[1]
    if order == "last":
        # The kernel closes descriptors by their number.
        high = fcntl.fcntl(listener.fileno(), fcntl.F_DUPFD, HIGH_DESCRIPTOR)
        listener.close()
        listener = socket.socket(fileno=high)
    print(port, flush=True)
    serve(listener, f"i-{port}")


def run_successor(port: int) -> None:
    """Take over a port as soon as it is free, a time after a line with that time."""
    print("ready", flush=True)
    time.sleep(float(sys.stdin.readline()))
    while True:
        try:
            listener = socket.create_server((LOOPBACK, port), backlog=128)
        except OSError:
            continue
        serve(listener, f"i-{port}-successor")


@dataclass
class Result:
    """What was measured in one row."""

    answers: int = 0
    wrong: int = 0
    took: list[float] = field(default_factory=list)

    def __str__(self) -> str:
        took = sorted(self.took) or [0.0]
        median = statistics.median(took) * 1_000
        last = took[int(len(took) * 0.99)] * 1_000
        return (
            f"{self.wrong} of {self.answers} wrong;"
            f" {median:.2f} ms in the median, {last:.2f} at 99%,"
            f" {took[-1] * 1_000:.2f} at most"
        )


class Judge:
    """Reads answers of an upstream and judges their ends in one way.

    Attributes:
        begun: Answers of which some bytes have arrived, by port.
    """

    def __init__(self, way: Way) -> None:
        self._way = way
        self._clock = SystemClock()
        self._client = UpstreamClient(self._clock)
        self._timeouts = Timeouts(self._clock)
        self._sidecars: dict[int, sidecar.UpstreamClient] = {}
        self.begun: Counter[int] = Counter()

    async def close(self) -> None:
        """Close all connections."""
        await self._client.close()
        for client in self._sidecars.values():
            await client.close()

    async def is_whole(self, port: int, result: Result) -> bool:
        """Read one answer, and return whether it is taken for a whole one."""
        if self._way is Way.SIDECAR:
            return await self._is_whole_at_sidecar(port)
        try:
            resp = await self._client.send(
                LOOPBACK,
                port,
                method="GET",
                target="/x",
                headers=[],
                body=b"",
                repeatable=False,
            )
        except aiohttp.ClientError:
            return False
        self.begun[port] += 1
        with contextlib.ExitStack() as stack:
            if self._way is Way.ENTRY:
                stack.enter_context(self._client.liveness.watching(LOOPBACK, port))
            try:
                while await resp.content.readany():
                    pass
            except aiohttp.ClientError:
                return False
            began = time.perf_counter()
            whole = await self._judge(port)
            result.took.append(time.perf_counter() - began)
            return whole

    async def _judge(self, port: int) -> bool:
        match self._way:
            case Way.ONE_LOOK:
                return await self._accepts(port)
            case Way.TWO_LOOKS:
                if not await self._accepts(port):
                    return False
                await asyncio.sleep(SECOND_LOOK)
                return await self._accepts(port)
        check = PlatformDialect().health_check(Incarnation(f"i-{port}"), HEALTH_PATH)
        liveness = await self._client.liveness.check(
            LOOPBACK, port, check, timeout=CHECK_TIMEOUT
        )
        end = AnswerEnd(Framing.CONNECTION, Close.CLOSED, liveness=liveness)
        return end.completeness is Completeness.WHOLE

    async def _accepts(self, port: int) -> bool:
        return not await is_refused(LOOPBACK, port)

    async def _is_whole_at_sidecar(self, port: int) -> bool:
        client = self._sidecars.get(port)
        if client is None:
            address = sidecar.UpstreamAddress(LOOPBACK, port, engine=False)
            client = sidecar.UpstreamClient(address, self._clock, self._timeouts)
            self._sidecars[port] = client

        def note_head(message: Head | Chunk) -> None:
            self.begun[port] += isinstance(message, Head)

        final = await client.run(
            REQUEST,
            window=sidecar.Window(REQUEST.window),
            send=note_head,
            charge=lambda _: None,
        )
        return not final.error


@contextlib.asynccontextmanager
async def process(*args: str) -> AsyncIterator[asyncio.subprocess.Process]:
    """Run this module as another process, which is ended in the end."""
    child = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "tools.measure_kills",
        *args,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    )
    try:
        yield child
    finally:
        if child.returncode is None:
            child.kill()
        await child.wait()


async def read_line(child: asyncio.subprocess.Process) -> str:
    """Return the next line that a process prints."""
    assert child.stdout is not None
    return (await child.stdout.readline()).decode().strip()


async def kill_once(
    judge: Judge,
    rng: random.Random,
    *,
    order: str,
    restart: float | None,
    streams: int,
    result: Result,
) -> None:
    """Kill an upstream in the middle of its answers, and count the wrong judgements."""
    async with process("--serve", order) as upstream:
        port = int(await read_line(upstream))
        async with process("--succeed", str(port)) as successor:
            await read_line(successor)
            reading = [
                asyncio.create_task(judge.is_whole(port, result))
                for _ in range(streams)
            ]
            while judge.begun[port] < streams:
                await asyncio.sleep(EVENT_PAUSE)
            await asyncio.sleep(rng.uniform(0, 0.6) * EVENTS * EVENT_PAUSE)
            if restart is not None:
                assert successor.stdin is not None
                successor.stdin.write(f"{restart}\n".encode())
            os.kill(upstream.pid, signal.SIGKILL)
            wholes = await asyncio.gather(*reading)
    result.answers += streams
    result.wrong += sum(wholes)


async def finish_once(judge: Judge, *, streams: int, result: Result) -> None:
    """Let an upstream finish its answers and run on."""
    async with process("--serve", "first") as upstream:
        port = int(await read_line(upstream))
        reading = [judge.is_whole(port, result) for _ in range(streams)]
        wholes = await asyncio.gather(*reading)
    result.answers += streams
    result.wrong += streams - sum(wholes)


async def measure(
    way: Way, kills: int, wholes: int, seed: int, counts: tuple[int, ...]
) -> None:
    """Print a row for each kind of end, and one for all of them."""
    judge = Judge(way)
    rng = random.Random(seed)
    cells = list(itertools.product(counts, ORDERS, RESTARTS))
    total = Result()
    for streams, order, restart in cells:
        result = Result()
        while result.answers < kills / len(cells):
            await kill_once(
                judge,
                rng,
                order=order,
                restart=restart,
                streams=streams,
                result=result,
            )
        successor = "none" if restart is None else f"{restart * 1_000:g} ms"
        cell = f"{streams}, port {order}, successor {successor}"
        print(f"{way}, killed, {cell}: {result}", flush=True)
        total.answers += result.answers
        total.wrong += result.wrong
    print(f"{way}, killed, all: {total.wrong} of {total.answers} wrong", flush=True)
    for streams in counts:
        result = Result()
        while result.answers < wholes / len(counts):
            await finish_once(judge, streams=streams, result=result)
        print(f"{way}, runs on, {streams}: {result}", flush=True)
    await judge.close()


def main() -> None:
    """Measure, or run as one of the processes of a measurement."""
    args = docopt(USAGE)
    if args["--serve"]:
        run_upstream(args["--serve"])
    elif args["--succeed"]:
        run_successor(int(args["--succeed"]))
    else:
        counts = (int(args["--streams"]),) if args["--streams"] else STREAMS
        uvloop.run(
            measure(
                Way(args["--way"]),
                int(args["--kills"]),
                int(args["--wholes"]),
                int(args["--seed"]),
                counts,
            )
        )


if __name__ == "__main__":
    main()
