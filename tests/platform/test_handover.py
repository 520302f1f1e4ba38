"""Requests of a busy entry that another entry serves, with real processes.

Guards against requests that run twice or are said not to have run although they have,
against requests that are lost when either entry stops or is killed, and against work
for callers who have left.
"""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from tests.platform.test_flooded_entry import limited_processor
from tools.platform.nodes import HOST, KEY, Platform
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

RATE = 150
"""Requests per second at the small entry: more than it serves."""
_numbers = itertools.count(1)


@dataclass
class Flood:
    """Requests that must not run twice, all to one entry.

    Args:
        platform: The platform.
        ip: Address of the entry.
        responses: Status and body of the response by request; an empty body if the
            connection was closed without one.
    """

    platform: Platform
    ip: str
    responses: dict[str, tuple[bytes, bytes]] = field(default_factory=dict)

    async def run(self, seconds: float) -> None:
        """Send requests for some seconds, and wait for their responses."""
        async with asyncio.TaskGroup() as group:
            for _ in range(round(seconds * RATE)):
                group.create_task(self._call(f"handed-{next(_numbers)}"))
                await asyncio.sleep(1 / RATE)

    async def _call(self, request_id: str) -> None:
        head = (
            f"POST /once/{request_id} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"{names.REQUEST_ID}: {request_id}\r\n{names.DEADLINE}: 4000\r\n"
            f"{names.AUTHORIZATION}: {names.BEARER}{KEY}\r\nContent-Length: 2\r\n"
            "Connection: close\r\n\r\n"
        )
        response = b""
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.platform.front_port
            )
            writer.write(head.encode() + b"{}")
            async with asyncio.timeout(6):
                response = await reader.read()
            writer.close()
        except (OSError, TimeoutError):
            pass
        self.responses[request_id] = (
            response[9:12],
            response.partition(b"\r\n\r\n")[2],
        )

    def check(self) -> Counter[bytes]:
        """Check that no request ran twice or ran although it was refused.

        Returns:
            Number of responses by status.
        """
        runs = Counter(
            run.request_id
            for server in self.platform.servers
            for run in server.runs
            if run.request_id in self.responses
        )
        assert all(count == 1 for count in runs.values())
        for request_id, (status, body) in self.responses.items():
            if status == b"200":
                assert runs[request_id] == 1
            if b'"not_run"' in body:
                assert status == b"503"
                assert not runs[request_id]
        return Counter(status for status, _ in self.responses.values())


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A running platform with three entries that know their limits."""
    limits = {"limits.cpuShare": 0.4, "limits.memoryMb": 256}
    platform = Platform(tmp_path, entries=3, limits=limits)
    try:
        await platform.start_all()
        yield platform
    finally:
        await platform.close()


def connections_handed_over(platform: Platform, ip: str) -> int:
    """Return the number of handed requests in an entry's log."""
    return sum(
        row["handed"]
        for line in platform.log(ip)
        if line["message"] == "accounts refused"
        for row in line["accounts"]
    )


async def wait_handed_over(platform: Platform, ip: str) -> None:
    """Wait until an entry hands connections over."""

    async def hands_over() -> bool:
        return connections_handed_over(platform, ip) > 0

    await wait_until(hands_over, "connections are handed over")


async def test_handed_requests_run_once_while_the_serving_entry_is_killed(
    platform: Platform,
) -> None:
    small, other, _ = platform.entry_ips
    flood = Flood(platform, small)
    with limited_processor(platform, small):
        task = asyncio.create_task(flood.run(6))
        await wait_handed_over(platform, small)
        platform.kill(other)
        platform.start(other)
        await task
    statuses = flood.check()
    assert statuses.keys() <= {b"200", b"502", b"503"}
    assert statuses[b"200"] > len(flood.responses) // 2


async def test_no_handed_request_is_lost_when_the_serving_entry_stops(
    platform: Platform,
) -> None:
    small, other, _ = platform.entry_ips
    flood = Flood(platform, small)
    with limited_processor(platform, small):
        task = asyncio.create_task(flood.run(6))
        await wait_handed_over(platform, small)
        platform.signal(other, signal.SIGTERM)
        await task
    statuses = flood.check()
    assert statuses.keys() <= {b"200", b"503"}


async def test_no_handed_request_is_lost_when_the_busy_entry_stops(
    platform: Platform,
) -> None:
    small, *_ = platform.entry_ips
    flood = Flood(platform, small)
    for server in platform.servers:
        server.delay = 0.2
    with limited_processor(platform, small):
        task = asyncio.create_task(flood.run(3))
        await wait_handed_over(platform, small)
        platform.signal(small, signal.SIGTERM)
        await task
    flood.check()
    # Requests that arrive once it has stopped find no entry there.
    lost = [one for one, (status, _) in flood.responses.items() if status == b""]
    ran = {run.request_id for server in platform.servers for run in server.runs}
    assert not ran.intersection(lost)


async def test_handed_requests_of_a_killed_entry_are_cancelled(
    platform: Platform,
) -> None:
    small, *_ = platform.entry_ips
    flood = Flood(platform, small)
    with limited_processor(platform, small):
        task = asyncio.create_task(flood.run(4))
        await wait_handed_over(platform, small)
        for server in platform.servers:
            server.delay = 30
        await asyncio.sleep(0.5)
    platform.kill(small)
    await task

    async def is_cancelled() -> bool:
        return all(run.ended for server in platform.servers for run in server.runs)

    await wait_until(is_cancelled, "no server works for callers who have left")
    flood.check()
