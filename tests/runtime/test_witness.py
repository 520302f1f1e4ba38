"""Whether the upstream that has ended an answer still runs."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from contextlib import closing
from typing import TYPE_CHECKING

import pytest

from leadseam.clock import SystemClock
from leadseam.liveness import HealthCheck, Identity, Liveness
from leadseam.runtime.witness import LivenessChecker
from tests.descriptors import assert_no_double_close
from tools.dying_upstream import DyingUpstream
from tools.ports import LOOPBACK
from tools.waiting import CONDITION_TIMEOUT, wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

CHECK = HealthCheck(
    "/healthz", instance_header="x-instance", instance="i-1", is_unique=True
)
TIMEOUT = 300
"""Longest time of a check, in milliseconds."""


async def check(port: int, check: HealthCheck = CHECK) -> Liveness:
    """Check a process without a witness."""
    checker = LivenessChecker(SystemClock())
    return await checker.check(LOOPBACK, port, check, timeout=TIMEOUT)


async def check_script(script: Script, health_check: HealthCheck = CHECK) -> Liveness:
    """Check a server that handles connections with a script."""
    server = await asyncio.start_server(script, LOOPBACK, 0)
    try:
        return await check(server.sockets[0].getsockname()[1], health_check)
    finally:
        server.close()


def answer(data: bytes) -> Script:
    """Return a script that sends an answer."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        await writer.drain()
        writer.close()

    return script


@pytest.mark.parametrize(
    ("data", "liveness"),
    [
        (b"HTTP/1.1 200 OK\r\nX-Instance: i-1\r\n\r\n", Liveness.RUNS),
        (b"HTTP/1.1 503 Full\r\n\r\n", Liveness.RUNS),
        (b"HTTP/1.1 200 OK\r\nX-Instance: i-2\r\n\r\n", Liveness.GONE),
        (b"HTTP/1.1 421 Other\r\n\r\n", Liveness.GONE),
        # No status at all is an answer, too.
        (b"HTTP/1.1 " + b"9" * 5_000 + b"\r\n\r\n", Liveness.RUNS),
        (b"HTTP/1.1 -421\r\n\r\n", Liveness.RUNS),
        (b"HTTP/1.1 00421\r\n\r\n", Liveness.RUNS),
        (b"HTTP/1.1 \xb2\r\n\r\n", Liveness.RUNS),
        (b"HTTP/1.1\r\n\r\n", Liveness.RUNS),
    ],
)
async def test_a_process_is_told_from_another_one_at_its_address(
    data: bytes, liveness: Liveness
) -> None:
    assert await check_script(answer(data)) is liveness


async def test_a_process_that_is_slow_to_answer_runs() -> None:
    async def hold(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    assert await check_script(hold) is Liveness.RUNS
    assert await check_script(hold, HealthCheck("")) is Liveness.RUNS


async def test_a_process_that_resets_some_connections_runs() -> None:
    resets = iter([True, True])

    async def reset_first(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if next(resets, False):
            writer.transport.abort()
            return
        await answer(b"HTTP/1.1 200 OK\r\nX-Instance: i-1\r\n\r\n")(reader, writer)

    assert await check_script(reset_first) is Liveness.RUNS


async def test_a_refused_connection_shows_that_a_process_is_gone() -> None:
    with socket.create_server((LOOPBACK, 0)) as listener:
        port = listener.getsockname()[1]
    assert await check(port) is Liveness.GONE


async def test_an_unreachable_process_is_not_taken_for_one_that_runs() -> None:
    with socket.create_server((LOOPBACK, 0), backlog=0) as listener:
        address = listener.getsockname()
        # The kernel drops further connections while the queue is full.
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(address)
        try:
            assert await check(address[1]) is Liveness.UNKNOWN
        finally:
            for sock in waiting:
                sock.close()


async def test_a_lost_first_packet_does_not_make_a_process_unreachable() -> None:
    """Guards against whole answers called broken on links that lose packets."""
    with socket.create_server((LOOPBACK, 0), backlog=0) as listener:
        address = listener.getsockname()
        waiting = [socket.socket() for _ in range(4)]
        for sock in waiting:
            sock.setblocking(False)
            sock.connect_ex(address)

        def accept_all() -> None:
            listener.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    waiting.append(listener.accept()[0])

        # The kernel drops the first packet of the check, which is sent again later.
        asyncio.get_running_loop().call_later(TIMEOUT / 2_000, accept_all)
        try:
            assert await check(address[1], HealthCheck("")) is Liveness.RUNS
        finally:
            for sock in waiting:
                sock.close()


async def test_a_witness_is_used_for_the_check_and_closed_with_the_last_answer() -> (
    None
):
    accepted = 0
    is_closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal accepted
        accepted += 1
        if await reader.read(1):
            writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
            await reader.read()
        is_closed.set()
        writer.close()

    async def is_open() -> bool:
        return accepted == 1

    server = await asyncio.start_server(serve, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    checker = LivenessChecker(SystemClock())
    with checker.watching(LOOPBACK, port), checker.watching(LOOPBACK, port):
        await wait_until(is_open, "the witness is open")
        liveness = await checker.check(LOOPBACK, port, CHECK, timeout=TIMEOUT)
    assert (liveness, accepted) == (Liveness.RUNS, 1)
    async with asyncio.timeout(CONDITION_TIMEOUT):
        await is_closed.wait()
    assert repr(checker) == "LivenessChecker(addresses=0)"
    server.close()


async def test_a_successor_that_does_not_name_itself_is_no_proof_of_the_process() -> (
    None
):
    """A new process at the same address proves nothing of the one that was killed."""
    with closing(DyingUpstream()) as upstream:
        checker = LivenessChecker(SystemClock())
        unnamed = HealthCheck("/healthz")
        with checker.watching(LOOPBACK, upstream.port):
            await upstream.wait_connections(1)
            upstream.die(port_first=True)
            found = await asyncio.gather(
                *(
                    checker.check(LOOPBACK, upstream.port, unnamed, timeout=TIMEOUT)
                    for _ in range(8)
                )
            )
    assert found == [Liveness.GONE] * 8


def test_a_name_that_a_restart_keeps_does_not_identify_a_process() -> None:
    kept = HealthCheck("/healthz", instance_header="x-instance", instance="i-1")
    assert kept.identify(200, {"x-instance": "i-1"}) is Identity.UNSTATED
    assert CHECK.identify(200, {"x-instance": "i-1"}) is Identity.SAME


async def test_an_answer_that_ends_while_its_witness_connects_closes_nothing_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def watch(port: int) -> None:
        with LivenessChecker(SystemClock()).watching(LOOPBACK, port):
            await asyncio.Event().wait()

    await assert_no_double_close(watch, monkeypatch)
