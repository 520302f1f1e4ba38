"""A client account whose callers all use one small entry gets its share.

Guards against an entry that spends its processor time on refusals: the more requests
were refused, the fewer it served. In six seconds one account got 478,261 of 10,949,484
tokens that it requested at one entry, another got 1,158,788, and the other entries
used a quarter of their processor time.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from leadseam.platform import names
from tools.platform.nodes import HOST, KEY, Platform, document
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Iterator

OTHER_KEY = "key-of-shop"
PERIOD_S, QUOTA_S = 0.03, 0.003
"""Seconds of processor time that the small entry gets in each period: a tenth of a
core. What it can't use in a period, as the machine is busy, is kept for the next."""
POLL_S = 0.0005
SERVED_RATE = 40
"""Requests per second that the small entry serves at most, with room for slow test
machines; the account at the other entries requests as many."""
SECONDS = 6
"""Length of the span in which the platform compares accounts."""
WARM_UP_S = 2
NANOS_PER_SECOND = 1_000_000_000
SHARE = 0.5
"""Part of what the best served account gets that the platform demands."""
BODY = b"x" * 2_000
_numbers = itertools.count(1)


@dataclass
class Calls:
    """What became of one account's requests.

    Args:
        requested: New requests by second.
        served: Served requests by second; each is counted where it was requested.
        refused: Refused attempts.
        failed: Attempts that ended otherwise, by what was received.
    """

    requested: Counter[int] = field(default_factory=Counter)
    served: Counter[int] = field(default_factory=Counter)
    refused: int = 0
    failed: Counter[bytes] = field(default_factory=Counter)


async def call_once(platform: Platform, ip: str, key: str) -> bytes:
    """Send a request on a new connection and return the status of the response."""
    try:
        reader, writer = await asyncio.open_connection(ip, platform.front_port)
    except OSError:
        return b""
    head = (
        f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\n"
        f"{names.REQUEST_ID}: flood-{next(_numbers)}\r\n{names.DEADLINE}: 4000\r\n"
        f"{names.AUTHORIZATION}: {names.BEARER}{key}\r\n{names.TOKENS}: 900,80\r\n"
        f"Content-Length: {len(BODY)}\r\nConnection: close\r\n\r\n"
    )
    try:
        writer.write(head.encode() + BODY)
        async with asyncio.timeout(4):
            response = await reader.read()
    except (OSError, TimeoutError):
        return b""
    finally:
        writer.close()
    return response[9:12]


async def send_requests(
    platform: Platform, ips: list[str], key: str, rate: float, calls: Calls
) -> None:
    """Send requests at a rate, each again at once if it is refused."""
    began = time.monotonic()

    async def call(ip: str) -> None:
        second = int(time.monotonic() - began) - WARM_UP_S
        calls.requested[second] += 1
        for _ in range(2):
            status = await call_once(platform, ip, key)
            if status == b"200":
                calls.served[second] += 1
                return
            if status == b"503":
                calls.refused += 1
            else:
                calls.failed[status] += 1

    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            due = began + number / rate
            if due >= began + WARM_UP_S + SECONDS:
                return
            await asyncio.sleep(max(due - time.monotonic(), 0))
            group.create_task(call(ips[number % len(ips)]))


@contextlib.contextmanager
def limited_processor(platform: Platform, ip: str) -> Iterator[None]:
    """Leave an entry a tenth of a core, by its own processor time."""
    usage = Path(f"/proc/{platform.processes[ip].pid}/schedstat")
    ended = threading.Event()

    def used() -> float:
        return int(usage.read_text().split()[0]) / NANOS_PER_SECOND

    def limit() -> None:
        began, used_before = time.monotonic(), used()
        while not ended.is_set():
            periods = 1 + int((time.monotonic() - began) / PERIOD_S)
            if used() - used_before < periods * QUOTA_S:
                platform.signal(ip, signal.SIGCONT)
                time.sleep(POLL_S)
                continue
            platform.signal(ip, signal.SIGSTOP)
            time.sleep(max(began + periods * PERIOD_S - time.monotonic(), POLL_S))
        platform.signal(ip, signal.SIGCONT)

    thread = threading.Thread(target=limit)
    thread.start()
    try:
        yield
    finally:
        ended.set()
        thread.join()


@pytest.fixture
async def platform(tmp_path: Path) -> AsyncIterator[Platform]:
    """A running platform with four entries that know their limits, and two accounts."""
    limits = {"limits.cpuShare": 0.4, "limits.memoryMb": 256}
    platform = Platform(tmp_path, entries=4, limits=limits)
    accounts = [
        {"name": "bank", "apiKeys": [KEY], "priority": 1},
        {"name": "shop", "apiKeys": [OTHER_KEY], "priority": 1},
    ]
    try:
        await platform.start_all()
        assert await platform.operator.replace(document(2, tenants=accounts)) == 200
        for ip in platform.entry_ips:
            await wait_until(
                partial(_is_known, platform, ip), "both accounts are known"
            )
        yield platform
    finally:
        await platform.close()


async def _is_known(platform: Platform, ip: str) -> bool:
    return (await platform.call(ip, "/safe/x", key=OTHER_KEY)).status == 200


@pytest.mark.parametrize("times", [1, 2, 4, 8])
async def test_an_account_at_one_small_entry_gets_half_of_the_best_served_one(
    platform: Platform, times: int
) -> None:
    small, *others = platform.entry_ips
    flooding, modest = Calls(), Calls()
    with limited_processor(platform, small):
        await asyncio.gather(
            send_requests(platform, [small], KEY, times * SERVED_RATE, flooding),
            send_requests(platform, others, OTHER_KEY, SERVED_RATE, modest),
        )
    seconds = range(SECONDS)
    due = sum(min(flooding.requested[at], modest.served[at]) for at in seconds)
    got = sum(flooding.served[at] for at in seconds)
    assert got >= SHARE * due, (flooding, modest)
