"""Retries of a fleet of real processes, as its servers count them."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

from tools.platform.retry_windows import retry_times, worst_window
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform
    from tools.platform.standin import Server

CALLERS = 8
"""Concurrent callers of each entry."""
CALLS = 12
"""Calls of each caller between two kills."""
STARTS = 4
"""Starts of each entry within one window."""
WARM_CALLS = 100
"""Calls whose share of the budget allows all retries of a test."""


async def call_through_all(
    platform: Platform, numbers: itertools.count[int]
) -> list[float]:
    """Call through all entries at once; return when each call was sent."""
    sent: list[float] = []

    async def call(entry: str) -> None:
        for _ in range(CALLS):
            sent.append(time.monotonic())
            await platform.call(
                entry, "/safe/x", method="GET", request_id=f"call-{next(numbers)}"
            )

    callers = [call(entry) for entry in platform.entry_ips for _ in range(CALLERS)]
    await asyncio.gather(*callers)
    return sent


def all_retries(servers: list[Server]) -> list[float]:
    """Return when retries arrived at any of these servers."""
    return retry_times(one for server in servers for one in server.arrivals)


def retry_lines(platform: Platform) -> list[dict[str, Any]]:
    """Return the log lines of all entries on decisions about retries."""
    return [
        line
        for ip in platform.entry_ips
        for line in platform.log(ip)
        if line["message"] == "retries"
    ]


async def wait_for_slack(platform: Platform) -> None:
    """Wait until each entry has a share of the slack."""

    async def has_slack() -> bool:
        for ip in platform.entry_ips:
            await platform.call(ip, "/safe/x", method="GET")
        nodes = {line["node"] for line in retry_lines(platform) if line["slack"]}
        return len(nodes) == len(platform.entry_ips)

    await wait_until(has_slack, "each entry has a share of the slack")


async def test_killed_entries_do_not_retry_beyond_the_budget_after_they_restart(
    platform: Platform,
) -> None:
    servers = platform.servers_of("plain")
    for server in servers:
        server.default_action = "full"
    numbers = itertools.count()
    requests: list[float] = []
    await wait_for_slack(platform)
    began = time.monotonic()
    for _ in range(STARTS):
        requests += await call_through_all(platform, numbers)
        for ip in platform.entry_ips:
            platform.kill(ip)
        for ip in platform.entry_ips:
            platform.start(ip)
        for ip in platform.entry_ips:
            await platform.wait_ready(ip)
    retries = [at for at in all_retries(servers) if at >= began]
    worst = worst_window(requests, retries, platform.retry_limits)
    assert worst.excess <= 0, worst


async def test_each_arrival_beyond_the_first_of_a_request_is_counted_as_a_retry(
    platform: Platform,
) -> None:
    actions = ["full", "error", "reset", "lose", "unsigned", "foreign", "answer"]
    # Entries take an upstream that answers 421 for gone until it is heard again.
    actions.append("misdirected")
    for server in platform.servers:
        server.actions = {action: action for action in actions}

    async def call_all(entry: str, action: str) -> None:
        await platform.call(entry, f"/safe/{action}", method="GET")
        await platform.call(entry, f"/once/{action}")
        await platform.call(entry, f"/stream/{action}")

    for entry in platform.entry_ips:
        for _ in range(WARM_CALLS):
            await call_all(entry, "answer")
    for entry in platform.entry_ips:
        for action in actions:
            await call_all(entry, action)
    arrived = len(all_retries(platform.servers))

    def counted() -> int:
        lines = retry_lines(platform)
        return sum(line["taken"] - line["returned"] for line in lines)

    async def all_are_counted() -> bool:
        return counted() >= arrived

    assert arrived >= len(actions)
    await wait_until(all_are_counted, "the lines name each retry that arrived")
    assert counted() == arrived
