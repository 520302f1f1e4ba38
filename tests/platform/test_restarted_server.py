"""Servers that start again under their id, and registrations that name no server.

The story: a server that starts again keeps its id, knows nothing of before and counts
its heartbeats anew. Taken for the one before, its heartbeats are too old to count, a
word of leaving concerns it for good, and what was learned of the one before is believed
of it. And whoever can reach the control boxes may write what reads like a heartbeat.
"""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.platform.operator import tell
from tools.platform.standin import Server
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform

FIRST_START = 1_764_720_000_000
SECOND_START = FIRST_START + 60_000


async def only_server(platform: Platform, ip: str, **fields: object) -> Server:
    """Return the only plain server of a running platform."""
    for other in platform.of("plain"):
        await other.stop()
        platform.servers.remove(other)
    return await one_more_server(platform, ip, **fields)


async def one_more_server(platform: Platform, ip: str, **fields: object) -> Server:
    """Start a plain server."""
    server = Server(
        ip,
        platform.server_port,
        "plain",
        platform.controls,
        **{"instance": "i-same", "born": FIRST_START, **fields},  # type: ignore[arg-type]
    )
    await server.start()
    platform.servers.append(server)
    return server


async def wait_answered_by(platform: Platform, server: Server) -> None:
    """Wait until both entries send requests to a server and nowhere else."""

    async def answered() -> bool:
        runs = len(server.runs)
        paths = [(entry, "/safe/x") for entry in platform.entry_ips]
        answers = [await platform.call(ip, path, method="GET") for ip, path in paths]
        whole = all(answer.status == 200 for answer in answers)
        return whole and len(server.runs) == runs + len(paths)

    await wait_until(answered, f"{server.ip} answers")


async def test_a_server_that_left_may_come_back_under_its_id(
    platform: Platform,
) -> None:
    first = await only_server(platform, platform.server_ips[4])
    await wait_answered_by(platform, first)
    await first.drain()
    await first.stop()
    platform.servers.remove(first)
    second = await only_server(platform, first.ip, born=SECOND_START)
    await wait_answered_by(platform, second)


async def test_a_late_word_of_leaving_concerns_the_start_that_said_it(
    platform: Platform,
) -> None:
    server = await only_server(platform, platform.server_ips[4], born=SECOND_START)
    await wait_answered_by(platform, server)
    assert await server.deregister(FIRST_START) == 200
    acks = server.acks

    async def beaten() -> bool:
        return server.acks > acks + 2

    await wait_until(beaten, "heartbeats after the late word")
    await wait_answered_by(platform, server)


async def test_what_runs_at_an_earlier_start_is_not_waited_for(
    platform: Platform,
) -> None:
    first = await only_server(platform, platform.server_ips[4])
    await wait_answered_by(platform, first)
    first.behave["held"] = "hold"
    entry = platform.entry_ips[0]
    held = [
        asyncio.create_task(platform.call(entry, f"/{route}/held", method="GET"))
        for route in ("safe", "once")
    ]

    async def running() -> bool:
        return sum(not run.ended for run in first.runs) == len(held)

    await wait_until(running, "both requests run")
    # It has started again elsewhere; nobody tells the connections to where it was.
    second = await one_more_server(platform, platform.server_ips[5], born=SECOND_START)
    safe, once = await asyncio.gather(*held)
    assert safe.status == 200
    assert safe.body == b"i-same /safe/held"
    assert (once.status, b"upstream_restarted" in once.body) == (502, True)
    assert [run.target for run in second.runs] == ["/safe/held"]


async def test_what_names_no_server_takes_nothing_from_one_that_serves(
    platform: Platform,
) -> None:
    server = await only_server(platform, platform.server_ips[4])
    await wait_answered_by(platform, server)
    address = f"{server.ip}:{platform.server_port}"
    good = {
        "service": "plain",
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "coldRemainingMs": 0,
        "born": SECOND_START,
        "sequence": 1_000,
    }
    bodies = [
        json.dumps(good | {"service": "nobody"}).encode(),
        json.dumps(good | {"state": "resting"}).encode(),
        json.dumps(good | {"born": f"{SECOND_START}"}).encode(),
        json.dumps(good | {"born": SECOND_START + 0.5}).encode(),
        json.dumps({key: good[key] for key in good if key != "slots"}).encode(),
        json.dumps(good).encode("utf-16"),
        b'{"born":1,' + json.dumps(good).encode()[1:],
        b"[" * 60_000,
    ]
    acks = server.acks
    for control in platform.controls:
        for number, body in enumerate(bodies):
            for instance in ("i-same", f"i-stranger-{number}"):
                path = names.HEARTBEAT_PATH.format(instance=instance)
                status = await tell(control, path, body)
                assert (number, status) in ((0, 200), (number, 400))

    async def beaten() -> bool:
        return server.acks > acks + 2

    await wait_until(beaten, "heartbeats after those of strangers")
    await wait_answered_by(platform, server)
    for control in platform.control_ips:
        assert platform.processes[control].poll() is None
