"""A request that crashes each upstream which begins it, with real processes.

What users saw: engines of a pool ended one after another for ten seconds, and hardly
any request to them was answered. Thirteen ended under one request, five of them after
three had ended and everybody could have known.
The order of events: a request comes in and its engine ends some 50 ms after it has
begun it; the entry sends it to the next engine at once; its caller sends it again under
another id, at any entry; engines that start anew end within seconds.
The cause: nothing knew the request again. Failures were kept by upstream, by pool and
within one exchange, so each arrival was the first.
The evidence: in the users' record one attempt that broke 46 ms after its begin and was
sent on 12 ms later; ends of engines only, ordering servers were whole; in lines of a
play, an engine that ended with a single attempt under way. Here: before the repair each
of the twelve calls below reached two upstreams and ended both, 24 in all.
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
BORNE = 3
"""Upstreams that such a request ends before it is known, and sends borne after that."""


async def four_servers(platform: Platform, born: int | None = None) -> list[Server]:
    """Have four plain servers that a request with the deadly path crashes."""
    for ip in platform.server_ips[4:6]:
        await platform.add_server(ip, "plain")
    servers = platform.of("plain")
    for server in servers:
        server.behave["deadly"] = "crash"
        server.born = born
    await wait_up(platform, servers)
    return servers


async def wait_up(platform: Platform, servers: list[Server]) -> None:
    """Wait until all servers are back, and each entry uses every one of them."""

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

    await wait_until(up, "all servers are back and used")


def arrivals(servers: list[Server]) -> int:
    """Return how often the deadly request began to run."""
    return sum(len(server.crashes) for server in servers)


async def call_again(platform: Platform, round_: int, path: str = DEADLY) -> Answer:
    """Send the deadly request again, through one entry after the other."""
    entry = platform.entry_ips[round_ % len(platform.entry_ips)]
    return await platform.call(entry, path, method="POST", body=b'{"n":1}')


def assert_known(answer: Answer) -> None:
    """Check that an answer says that it is this request, and when not to come back."""
    assert (answer.status, b'"crashes_upstreams"' in answer.body) == (503, True)
    assert b'"not_run"' in answer.body
    assert names.RETRY_AFTER not in answer.headers


@pytest.mark.parametrize("born", [None, 1_764_720_000_000])
async def test_it_is_refused_everywhere_once_three_have_ended(
    platform: Platform, born: int | None
) -> None:
    servers = await four_servers(platform, born)
    answers = []
    for round_ in range(ROUNDS):
        answers.append(await call_again(platform, round_))
        await wait_up(platform, servers)
    assert arrivals(servers) <= BORNE + 1
    for answer in answers[-2 * len(platform.entry_ips) :]:
        assert_known(answer)
    # Another body is another request, and everybody else is served.
    entry = platform.entry_ips[0]
    assert (await platform.call(entry, "/safe/good", body=b'{"n":1}')).status == 200


async def test_an_operator_sees_and_lifts_a_verdict(platform: Platform) -> None:
    servers = await four_servers(platform)
    for round_ in range(ROUNDS // 2):
        await call_again(platform, round_)
        await wait_up(platform, servers)
    control = platform.metrics_address(platform.control_ips[0])
    listed = json.loads(await verdicts("--json", control))
    assert [(row["account"], row["body_bytes"]) for row in listed] == [("bank", 7)]
    assert len(listed[0]["ended"]) == BORNE
    assert listed[0]["fingerprint"] in await verdicts(control)
    for server in servers:
        server.behave.clear()
    await verdicts("--lift", listed[0]["fingerprint"], control)

    async def served() -> bool:
        answers = [await call_again(platform, round_) for round_ in range(2)]
        return all(answer.status == 200 for answer in answers)

    await wait_until(served, "the request is served again")
    assert json.loads(await verdicts("--json", control)) == []


async def verdicts(*args: str) -> str:
    """Run the operators' command on the control box, and return its output."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "leadseam.cli.verdicts", *args, stdout=PIPE
    )
    output, _ = await process.communicate()
    assert process.returncode == 0
    return output.decode()


async def test_it_stays_known_when_all_boxes_have_lost_power(
    platform: Platform,
) -> None:
    servers = await four_servers(platform)
    for round_ in range(ROUNDS // 2):
        await call_again(platform, round_)
        await wait_up(platform, servers)
    known = arrivals(servers)
    assert BORNE <= known <= BORNE + 1
    boxes = [*platform.control_ips, *platform.entry_ips]
    for ip in boxes:
        platform.kill(ip)
    for ip in boxes:
        platform.start(ip)
    for ip in platform.entry_ips:
        await platform.wait_ready(ip)
    await wait_up(platform, servers)
    for round_ in range(len(platform.entry_ips)):
        assert_known(await call_again(platform, round_))
    assert arrivals(servers) == known


async def test_one_that_is_hit_by_the_ends_of_others_is_served(
    platform: Platform,
) -> None:
    """Beside a deadly request, 8 of 24 callers of longer ones were refused too."""
    servers = await four_servers(platform)
    for server in servers:
        server.behave["long"] = "hold"
    hits = 0
    while hits < BORNE:
        call = asyncio.create_task(call_again(platform, hits, "/once/long"))
        running = await run_by(servers, hits)
        # It runs for some time already: what crashes now is not its doing.
        await asyncio.sleep(2 * EARLY_LIMIT / 1_000)
        assert running.crash()
        assert (await call).status == 502
        hits += 1
        await wait_up(platform, servers)
    for server in servers:
        server.behave.clear()
    for round_ in range(len(platform.entry_ips)):
        answer = await call_again(platform, round_, "/once/long")
        assert answer.status == 200


async def run_by(servers: list[Server], before: int) -> Server:
    """Wait until one more run of the long request has begun, and return its server."""

    def runs(server: Server) -> int:
        return sum(run.target == "/once/long" for run in server.runs)

    counts = [runs(server) for server in servers]
    assert sum(counts) in (before, before + 1)

    async def begun() -> bool:
        return sum(map(runs, servers)) > before

    await wait_until(begun, "the long request runs")
    return next(
        server
        for server in servers
        if any(run.target == "/once/long" and not run.ended for run in server.runs)
    )
