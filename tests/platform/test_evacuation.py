"""Evacuated failure domains, cold servers and regions, with real processes."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from asyncio.subprocess import PIPE
from functools import partial
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.platform.nodes import document
from tools.platform.operator import post_bytes
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform
    from tools.platform.standin import Server

CALLS = 12


async def set_failure_domains(platform: Platform, *zones: str) -> None:
    """Have the servers of each service report these failure domains."""
    for service in ("model", "plain"):
        for server, zone in zip(platform.servers_of(service), zones, strict=True):
            server.zone = zone
            acks = server.acks
            await wait_until(
                partial(_acked_by_all_boxes, server, acks), f"{zone} is registered"
            )


async def _acked_by_all_boxes(server: Server, acks: int) -> bool:
    # Heartbeats go to all boxes in turn, so each box has received the new domain.
    return server.acks > acks + 2 * len(server.controls)


async def wait_evacuated(platform: Platform, *domains: str) -> None:
    """Wait until each entry has last logged exactly these domains as evacuated."""
    for entry in platform.entry_ips:

        async def has_logged(entry: str = entry) -> bool:
            lines = platform.log(entry)
            in_force_lines = [
                one for one in lines if one["message"] == "evacuations in force"
            ]
            return bool(in_force_lines) and set(in_force_lines[-1]["domains"]) == set(
                domains
            )

        await wait_until(has_logged, f"{entry} treats {domains} as evacuated")


async def call_all(platform: Platform) -> None:
    """Call both services through both entries."""
    for number in range(CALLS):
        entry = platform.entry_ips[number % 2]
        assert (await platform.call(entry, "/once/x")).status == 200
        assert (await platform.call(entry, "/stream/x")).status == 200


async def test_an_evacuated_domain_gets_nothing_also_after_all_boxes_restart(
    platform: Platform,
) -> None:
    await set_failure_domains(platform, "a", "b")
    evacuated_servers = [one for one in platform.servers if one.zone == "b"]
    assert await platform.operator.switch("b", evacuated=True) == 200
    await wait_evacuated(platform, "b")
    before = [len(server.runs) for server in evacuated_servers]
    await call_all(platform)
    assert [len(server.runs) for server in evacuated_servers] == before
    # A second order is acknowledged and changes nothing.
    assert await platform.operator.switch("b", evacuated=True) == 200
    boxes = [*platform.control_ips, *platform.entry_ips]
    for ip in boxes:
        platform.kill(ip)
    for ip in boxes:
        platform.start(ip, bootstrap=False)
    for ip in platform.entry_ips:
        await platform.wait_ready(ip)
        await platform.wait_served(ip)
    await call_all(platform)
    assert [len(server.runs) for server in evacuated_servers] == before
    assert await platform.operator.switch("b", evacuated=False) == 200
    await wait_evacuated(platform)

    async def served_again() -> bool:
        await call_all(platform)
        return all(
            len(s.runs) > b for s, b in zip(evacuated_servers, before, strict=True)
        )

    await wait_until(served_again, "the domain serves again")


async def test_running_requests_finish_in_an_evacuated_domain(
    platform: Platform,
) -> None:
    await set_failure_domains(platform, "a", "a")
    for server in platform.servers_of("model"):
        server.actions["long"] = "pause"
    entry = platform.entry_ips[0]
    call = asyncio.create_task(
        platform.call(entry, "/stream/long", request_id="running")
    )

    async def runs() -> bool:
        return any(server.count("running") for server in platform.servers_of("model"))

    await wait_until(runs, "the request runs")
    assert await platform.operator.switch("a", evacuated=True) == 200
    for server in platform.servers_of("model"):
        server.release.set()
    answer = await call
    assert (answer.status, answer.cut) == (200, False)
    assert sum(server.count("running") for server in platform.servers_of("model")) == 1
    await wait_evacuated(platform, "a")
    # No domain is left: requests are refused at once, with a retry delay.
    refused = await platform.call(entry, "/stream/x")
    assert refused.status == 503
    assert b"no_upstream" in refused.body
    assert float(refused.headers[names.RETRY_AFTER]) > 0
    plain = await platform.call(entry, "/once/x")
    assert plain.status == 503


async def test_orders_that_may_be_late_copies_are_delayed(
    platform: Platform,
) -> None:
    operator = platform.operator
    assert await operator.switch("b", evacuated=True) == 200
    assert await operator.switch("b", evacuated=False) == 200
    box = platform.controls[0]

    async def has_applied_both() -> bool:
        lines = platform.log(platform.control_ips[0])
        message = "evacuated failure domains changed"
        changes = [one for one in lines if one["message"] == message]
        return bool(changes) and not changes[-1]["evacuated"]

    # A follower that has not applied the restore answers 503 for another reason.
    await wait_until(has_applied_both, "the box has applied both orders")
    # Still within the time in which the first order may be sent again.
    status = await post_bytes(box, names.EVACUATE_PATH.format(domain="b"), b"")
    lines = [
        line["status"]
        for ip in platform.control_ips
        for line in platform.log(ip)
        if line["message"] == "evacuation ordered"
    ]
    assert (status == 503) is ("may_be_late" in lines)
    assert await operator.switch("b", evacuated=True) == 200
    await wait_evacuated(platform, "b")
    assert await operator.switch("x/y", evacuated=True) in (400, 404)


async def test_an_order_whose_caller_has_hung_up_is_not_carried_out(
    platform: Platform,
) -> None:
    # A suspended box finds this order in its socket when it resumes. The caller has
    # sent it again to another box meanwhile, and it may have been undone since.
    ip = platform.control_ips[0]
    platform.signal(ip, signal.SIGSTOP)
    _, writer = await asyncio.open_connection(ip, platform.control_port)
    path = names.EVACUATE_PATH.format(domain="b")
    head = f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"
    writer.write(head.encode())
    await writer.drain()
    writer.close()
    await writer.wait_closed()
    platform.signal(ip, signal.SIGCONT)
    assert await platform.operator.switch("c", evacuated=True) == 200
    await wait_evacuated(platform, "c")
    ordered = [
        line["domain"]
        for box in platform.control_ips
        for line in platform.log(box)
        if line["message"] == "evacuation ordered"
    ]
    assert set(ordered) == {"c"}


async def test_requests_stay_within_the_regions_of_route_and_account(
    platform: Platform,
) -> None:
    for ip in platform.server_ips[4:6]:
        await platform.add_server(ip, "plain")
    zones = ("a", "b", "c", "c")
    for server, zone in zip(platform.servers_of("plain"), zones, strict=True):
        server.zone = zone
        acks = server.acks
        await wait_until(
            partial(_acked_by_all_boxes, server, acks), f"{zone} is registered"
        )
    routes = json.loads(document(2))["routes"]
    routes[0]["allowedRegions"] = ["east", "west"]
    routes[1]["allowedRegions"] = ["north"]
    tenants = [
        {"name": "bank", "apiKeys": ["key-of-bank"]},
        {"name": "west", "apiKeys": ["k-west"], "allowedRegions": ["west", "north"]},
    ]
    new_document = document(2, routes=routes, tenants=tenants)
    assert await platform.operator.replace(new_document) == 200
    for entry in platform.entry_ips:

        async def key_is_in_force(entry: str = entry) -> bool:
            return (await platform.call(entry, "/once/x", key="k-west")).status == 200

        await wait_until(key_is_in_force, "the allowed regions are in force")

    for server in platform.servers_of("plain"):
        server.runs.clear()
    for number in range(CALLS):
        entry = platform.entry_ips[number % 2]
        for path, key, allowed in (
            ("/once/x", "key-of-bank", "ab"),
            ("/once/x", "k-west", "b"),
            ("/safe/x", "k-west", "c"),
        ):
            request_id = f"{path}{key}{number}".replace("/", "-")
            answer = await platform.call(entry, path, key=key, request_id=request_id)
            assert answer.status == 200
            (server,) = [s for s in platform.servers_of("plain") if s.count(request_id)]
            assert server.zone in allowed


async def test_a_server_that_turns_cold_gets_its_part_of_the_rate(
    platform: Platform,
) -> None:
    services = json.loads(document(2))["services"]
    services[0]["coldPerS"] = 2
    new_document = document(2, services=services)
    assert await platform.operator.replace(new_document) == 200
    cold, _ = platform.servers_of("plain")
    cold.cold = 60_000
    for entry in platform.entry_ips:

        async def is_limited(entry: str = entry) -> bool:
            before = len(cold.runs)
            for _ in range(CALLS):
                assert (await platform.call(entry, "/once/x")).status == 200
            return len(cold.runs) <= before + 2

        await wait_until(is_limited, "the entry limits the cold server")
    before = len(cold.runs)
    for number in range(CALLS):
        await platform.call(platform.entry_ips[number % 2], "/once/x")
    # Each of the two entries sends one request per window, and these calls span at most
    # two windows.
    assert len(cold.runs) <= before + 4
    cold.cold = 0
    seen = len(cold.runs)

    async def serves_again() -> bool:
        for number in range(CALLS):
            await platform.call(platform.entry_ips[number % 2], "/once/x")
        return len(cold.runs) > seen + CALLS

    await wait_until(serves_again, "the server is warm again")


async def test_operators_evacuate_and_list_on_a_control_box(
    platform: Platform,
) -> None:
    box = platform.metrics_address(platform.control_ips[0])

    async def run(*args: str) -> tuple[int | None, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "leadseam.cli.evacuations", *args, box, stdout=PIPE
        )
        out, _ = await process.communicate()
        return process.returncode, out.decode()

    assert (await run("--json")) == (0, "[]\n")
    assert (await run("--evacuate", "b"))[0] == 0
    await wait_evacuated(platform, "b")
    code, out = await run("--json")
    (row,) = json.loads(out)
    assert (code, row["domain"], row["evacuated"]) == (0, "b", True)
    assert (await run("--restore", "b"))[0] == 0
    await wait_evacuated(platform)
    assert "in use" in (await run())[1]
