"""Crowds of clients that send large or unfinished requests to an entry.

Guards against a process that outgrows the memory or the descriptors of its box, or
stops answering, because of what clients send that this project does not control.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from tools.crowd import Crowd, Member
from tools.crowd_ways import BODY_BYTES, CROWDED_WAYS, HEADER_BYTES, WAYS, close_after
from tools.platform.nodes import HOST, KEY, Platform, document
from tools.process_usage import open_sockets, peak_memory, resident_memory
from tools.raw_http import exchange
from tools.waiting import CONDITION_TIMEOUT, wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

MEMORY_MB = 96
"""Memory of the entry's box."""
MEMORY_BYTES = MEMORY_MB * 1_000_000
DESCRIPTORS = 400
"""Descriptors of the entry's box."""
FILE_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files, so that sockets have the others."""
LIMITS = {
    "maxHeaderBytes": HEADER_BYTES,
    "maxBodyBytes": BODY_BYTES,
    "headerTimeoutMs": 3_000,
    "idleTimeoutMs": 15_000,
}
COVERED_MEMBERS = 15
"""Members of a crowd that fits into the default account."""
REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request has not run and never will."""


def start_of(request_id: str) -> list[str]:
    """Return the first lines of a request."""
    return [
        "POST /once/crowd HTTP/1.1",
        f"Host: {HOST}",
        f"{names.REQUEST_ID}: {request_id}",
        f"{names.AUTHORIZATION}: {names.BEARER}{KEY}",
        f"{names.DEADLINE}: 5000",
    ]


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A platform with one entry, whose box has little memory and few descriptors."""
    limits: dict[str, float] = {
        "limits.memoryMb": MEMORY_MB,
        "limits.maxFds": DESCRIPTORS,
    }
    platform = Platform(tmp_path, entries=1, limits=limits)
    try:
        await platform.start_all()
        assert await platform.operator.replace(document(2, limits=LIMITS)) == 200
        await wait_until(
            lambda: takes_large_bodies(platform), "the limits are in force"
        )
        yield platform
    finally:
        await platform.close()


async def takes_large_bodies(platform: Platform) -> bool:
    """Return whether the entry has the limits of this test in force."""
    body = bytes(BODY_BYTES // 2)
    answer = await platform.call(platform.entry_ips[0], "/once/warm", body=body)
    return answer.status == 200


@pytest.mark.parametrize("name", WAYS)
async def test_one_request_of_any_form_is_served(platform: Platform, name: str) -> None:
    """A client inside the limits is served while nobody else uses the entry."""
    ip = platform.entry_ips[0]
    request = close_after(b"".join(WAYS[name].pieces(start_of("alone"))))

    async def served() -> bool:
        received, _ = await exchange(ip, platform.front_port, request)
        if b'"entry_busy"' in received:
            return False
        assert received.startswith(b"HTTP/1.1 200 ")
        return True

    await wait_until(served, "the request is served")


@pytest.mark.parametrize("name", CROWDED_WAYS)
async def test_an_entry_survives_a_crowd(platform: Platform, name: str) -> None:
    """It stays within its box, keeps its promises, and answers an ordinary request."""
    way = CROWDED_WAYS[name]
    ip = platform.entry_ips[0]
    process = platform.processes[ip]
    ids = [f"crowd-{number}" for number in range(way.members)]
    crowd = Crowd(
        (ip, platform.front_port),
        [Member(one, way.pieces(start_of(one))) for one in ids],
        pause=way.pause,
    )
    try:
        await crowd.send()
        async with asyncio.timeout(CONDITION_TIMEOUT):
            answer = await platform.call(ip, "/once/ordinary")
        sockets = open_sockets(process.pid)
    finally:
        await crowd.leave()
    assert process.poll() is None
    assert answer.status == 200
    refused = {one.request_id for one in crowd.members if one.status in REFUSALS}
    runs = {run.request_id for server in platform.servers for run in server.runs}
    assert not refused & runs
    assert sockets <= DESCRIPTORS - FILE_DESCRIPTORS
    assert peak_memory(process.pid) <= MEMORY_BYTES


@pytest.mark.parametrize(
    "name", ["large bodies in pieces", "short header lines", "odd header lines"]
)
async def test_the_account_covers_what_a_crowd_takes(tmp_path: Path, name: str) -> None:
    """A price that is too low would let the sum outgrow the box after all."""
    platform = Platform(tmp_path, entries=1)
    try:
        await platform.start_all()
        assert await platform.operator.replace(document(2, limits=LIMITS)) == 200
        await wait_until(
            lambda: takes_large_bodies(platform), "the limits are in force"
        )
        ip = platform.entry_ips[0]
        process = platform.processes[ip]
        before = resident_memory(process.pid)
        way = WAYS[name]
        ids = [f"crowd-{number}" for number in range(COVERED_MEMBERS)]
        unfinished = [[*way.pieces(start_of(one))[:-1], b""] for one in ids]
        members = [
            Member(one, pieces) for one, pieces in zip(ids, unfinished, strict=True)
        ]
        crowd = Crowd((ip, platform.front_port), members, pause=way.pause)
        await crowd.send()

        async def charged() -> bool:
            arriving = await charged_bytes(platform)
            return 0 < resident_memory(process.pid) - before <= arriving

        await wait_until(charged, "the charge covers the resident memory")
        await crowd.leave()
    finally:
        await platform.close()


async def charged_bytes(platform: Platform) -> float:
    """Return the bytes that an entry has charged to unfinished requests."""
    url = f"http://{platform.metrics_address(platform.entry_ips[0])}/metrics"
    async with platform.http.get(url) as resp:
        for line in (await resp.text()).splitlines():
            if "peer_bytes{" in line and "arriving" in line:
                return float(line.rsplit(" ", 1)[1])
    return 0.0
