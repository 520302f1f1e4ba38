"""A request that crashes each upstream that runs it, with real processes.

Guards against a deadly request that takes down a whole pool. In a user's deployment the
engines of a pool crashed one after another for ten seconds, and hardly any request to
them was answered. One request crashed thirteen engines, five of them after three
crashes that every entry could have known of.

An engine crashes some 50 ms after it has begun the request. The entry retries the
request on the next engine at once, its caller sends it again under another id and
through any entry, and restarted engines crash again within seconds. Failures were
tracked by upstream, by pool and within one exchange, so nothing recognized the request:
each arrival looked like the first.

Evidence: in the user's log an attempt broke after 46 ms and was retried 12 ms later;
only engines crashed, ordering servers did not; and in the log lines of one run an
engine crashed with a single attempt in flight. Before the fix each of the twelve calls
below reached two upstreams and crashed both, 24 in all.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import sys
from asyncio.subprocess import PIPE
from typing import TYPE_CHECKING

import pytest

from leadseam.crashes.evidence import EARLY_LIMIT
from leadseam.platform import names
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Answer, Platform
    from tools.platform.standin import Server

DEADLY = "/safe/deadly"
ROUNDS = 12
CRASHES_BEFORE_VERDICT = 3
"""Upstreams that a deadly request crashes before there is a verdict on it."""


async def add_crashing_servers(
    platform: Platform, born: int | None = None
) -> list[Server]:
    """Return four plain servers, which a request with the deadly path crashes."""
    for ip in platform.server_ips[4:6]:
        await platform.add_server(ip, "plain")
    servers = platform.servers_of("plain")
    for server in servers:
        server.actions["deadly"] = "crash"
        server.born = born
    await wait_servers_up(platform, servers)
    return servers


async def wait_servers_up(platform: Platform, servers: list[Server]) -> None:
    """Wait until all servers are up and each of them runs requests again."""

    async def up() -> bool:
        if not all(server.is_up for server in servers):
            return False
        counts = [len(server.runs) for server in servers]
        for entry, _ in itertools.product(platform.entry_ips, servers):
            calls = [platform.call(entry, "/safe/good", method="GET") for _ in servers]
            if any(answer.status != 200 for answer in await asyncio.gather(*calls)):
                return False
        return all(
            len(server.runs) > count
            for server, count in zip(servers, counts, strict=True)
        )

    await wait_until(up, "all servers are up and used")


def count_crashes(servers: list[Server]) -> int:
    """Return how often the deadly request has crashed a server."""
    return sum(len(server.crashes) for server in servers)


async def resend(platform: Platform, round_: int, path: str = DEADLY) -> Answer:
    """Send a request once more, through one entry after the other."""
    entry = platform.entry_ips[round_ % len(platform.entry_ips)]
    return await platform.call(entry, path, method="POST", body=b'{"n":1}')


def assert_refused_by_verdict(answer: Answer) -> None:
    """Check that a response refuses the request by verdict, without a retry delay."""
    assert (answer.status, b'"crashes_upstreams"' in answer.body) == (503, True)
    assert b'"not_run"' in answer.body
    assert names.RETRY_AFTER not in answer.headers


@pytest.mark.parametrize("born", [None, 1_764_720_000_000])
async def test_a_deadly_request_is_refused_everywhere_after_three_crashes(
    platform: Platform, born: int | None
) -> None:
    servers = await add_crashing_servers(platform, born)
    answers = []
    for round_ in range(ROUNDS):
        answers.append(await resend(platform, round_))
        await wait_servers_up(platform, servers)
    assert count_crashes(servers) <= CRASHES_BEFORE_VERDICT + 1
    for answer in answers[-2 * len(platform.entry_ips) :]:
        assert_refused_by_verdict(answer)
    # The same body under another path is another request, and is served.
    entry = platform.entry_ips[0]
    assert (await platform.call(entry, "/safe/good", body=b'{"n":1}')).status == 200


async def test_an_operator_sees_and_lifts_a_verdict(platform: Platform) -> None:
    servers = await add_crashing_servers(platform)
    for round_ in range(ROUNDS // 2):
        await resend(platform, round_)
        await wait_servers_up(platform, servers)
    control = platform.metrics_address(platform.control_ips[0])
    listed = json.loads(await run_verdicts_command("--json", control))
    assert [(row["account"], row["body_bytes"]) for row in listed] == [("bank", 7)]
    assert len(listed[0]["ended"]) == CRASHES_BEFORE_VERDICT
    assert listed[0]["fingerprint"] in await run_verdicts_command(control)
    for server in servers:
        server.actions.clear()
    await run_verdicts_command("--lift", listed[0]["fingerprint"], control)

    async def served() -> bool:
        answers = [await resend(platform, round_) for round_ in range(2)]
        return all(answer.status == 200 for answer in answers)

    await wait_until(served, "the request is served again")
    assert json.loads(await run_verdicts_command("--json", control)) == []


async def run_verdicts_command(*args: str) -> str:
    """Run the operators' command for verdicts, and return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "leadseam.cli.verdicts", *args, stdout=PIPE
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return output.decode()


async def test_a_verdict_survives_a_power_loss_of_all_boxes(
    platform: Platform,
) -> None:
    servers = await add_crashing_servers(platform)
    for round_ in range(ROUNDS // 2):
        await resend(platform, round_)
        await wait_servers_up(platform, servers)
    crashes_before = count_crashes(servers)
    assert CRASHES_BEFORE_VERDICT <= crashes_before <= CRASHES_BEFORE_VERDICT + 1
    boxes = [*platform.control_ips, *platform.entry_ips]
    for ip in boxes:
        platform.kill(ip)
    for ip in boxes:
        platform.start(ip)
    for ip in platform.entry_ips:
        await platform.wait_ready(ip)
    await wait_servers_up(platform, servers)
    for round_ in range(len(platform.entry_ips)):
        assert_refused_by_verdict(await resend(platform, round_))
    assert count_crashes(servers) == crashes_before


async def test_a_request_hit_by_crashes_of_others_is_served(
    platform: Platform,
) -> None:
    """Crashes that others cause must not count against a request in flight.

    Beside a deadly request, 8 of 24 callers of longer requests were refused too.
    """
    servers = await add_crashing_servers(platform)
    for server in servers:
        server.actions["long"] = "hold"
    hits = 0
    while hits < CRASHES_BEFORE_VERDICT:
        call = asyncio.create_task(resend(platform, hits, "/once/long"))
        running = await wait_running(servers, hits)
        # It has run for some time, so a crash now is not attributed to it.
        await asyncio.sleep(2 * EARLY_LIMIT / 1_000)
        assert running.crash()
        assert (await call).status == 502
        hits += 1
        await wait_servers_up(platform, servers)
    for server in servers:
        server.actions.clear()
    for round_ in range(len(platform.entry_ips)):
        answer = await resend(platform, round_, "/once/long")
        assert answer.status == 200


async def wait_running(servers: list[Server], before: int) -> Server:
    """Wait until one more run of the long request has begun; return its server."""

    def runs(server: Server) -> int:
        return sum(run.target == "/once/long" for run in server.runs)

    counts = [runs(server) for server in servers]
    assert sum(counts) in (before, before + 1)

    async def has_begun() -> bool:
        return sum(map(runs, servers)) > before

    await wait_until(has_begun, "the long request runs")
    return next(
        server
        for server in servers
        if any(run.target == "/once/long" and not run.ended for run in server.runs)
    )
