"""Measure the control plane: propagation, failover, feed bytes and retry storms.

Usage:
  measure_control [--changes N] [--storm]
  measure_control (-h | --help)

Options:
  --changes N  Changes of each case [default: 60].
  --storm      Only the retry storm.
"""

from __future__ import annotations

import asyncio
import json
import re
import signal
import tempfile
import time
from pathlib import Path

from docopt import docopt

from leadseam.cli._client import OperatorClient, UnavailableError
from leadseam.control.configuration import Drain
from leadseam.schema import operator_pb2 as pb
from leadseam.schema.convert import operation_to_message
from leadseam.settings.models import Endpoint
from tools.fleet import OPERATOR_TOKEN, Fleet
from tools.gap import percentile
from tools.load import chat_body
from tools.measure import cpu_seconds, riga_fleet
from tools.ports import LOOPBACK

IN_FORCE = re.compile(r'"time": (\d+).*"configuration in force", "version": (\d+)')
POLL_INTERVAL = 0.05
STORM_CALLS = 200


def operator_client(fleet: Fleet) -> OperatorClient:
    """Return an operator client of all replicas."""
    ends = [Endpoint(ip=LOOPBACK, port=port) for port in fleet.operator_ports]
    return OperatorClient(ends, OPERATOR_TOKEN)


async def send_change(operator: OperatorClient, turn: int) -> tuple[int, float, float]:
    """Send a change; return its version, and when it was sent and acknowledged (ms)."""
    current = await operator.get()
    operation = Drain("kiosk-1", turn % 2 == 0)
    request = pb.ApplyRequest(
        change_id=f"m{time.monotonic_ns()}",
        expect_version=current.version,
        operations=[operation_to_message(operation)],
    )
    sent = time.time() * 1_000
    reply = await operator.apply(request)
    assert reply.status == "accepted", reply
    return reply.version, sent, time.time() * 1_000


def in_force_times(fleet: Fleet) -> dict[int, float]:
    """Return from the logs when each version was in force on the last node (ms)."""
    in_force_at: dict[int, float] = {}
    for name in (*fleet.names("entry"), *fleet.names("sidecar")):
        for when, version in IN_FORCE.findall(fleet.nodes[name].log.read_text()):
            number = int(version)
            in_force_at[number] = max(in_force_at.get(number, 0.0), float(when))
    return in_force_at


async def leader_name(fleet: Fleet) -> str:
    """Return the name of the leader."""
    while True:
        for _, reply in await operator_client(fleet).status():
            if reply is not None and reply.role == "leader" and reply.current:
                return str(reply.identity).partition("#")[0]
        await asyncio.sleep(POLL_INTERVAL)


async def describe_propagation(fleet: Fleet, case: str, count: int) -> str:
    """Send changes and describe how long they took to be in force everywhere."""
    operator = operator_client(fleet)
    changes = []
    for turn in range(count):
        changes.append(await send_change(operator, turn))
        await asyncio.sleep(POLL_INTERVAL)
    await fleet.wait_in_force(changes[-1][0])
    in_force_at = in_force_times(fleet)
    delays = [
        in_force_at[version] - acked
        for version, _, acked in changes
        if version in in_force_at
    ]
    acks = [acked - sent for _, sent, acked in changes]
    return (
        f"{case}: {len(delays)} changes, in force on the last node after the"
        f" acknowledgement: p50 {percentile(delays, 0.5):.0f} ms,"
        f" p99 {percentile(delays, 0.99):.0f} ms, worst {max(delays):.0f} ms;"
        f" acknowledged after p50 {percentile(acks, 0.5):.0f} ms,"
        f" worst {max(acks):.0f} ms"
    )


async def describe_failover(fleet: Fleet, rounds: int) -> str:
    """Kill the leader in rounds; describe the times to the next acknowledged change."""
    times = []
    operator = operator_client(fleet)
    for turn in range(rounds):
        old = await leader_name(fleet)
        fleet.nodes[old].kill()
        start = time.monotonic()
        await send_change_until_accepted(operator, turn)
        times.append(time.monotonic() - start)
        fleet.start(old)
        await fleet.wait_ready(old)
    listed = ", ".join(f"{one:.2f}" for one in sorted(times))
    return f"failover, kill to next acknowledged change: {listed} s"


async def send_change_until_accepted(operator: OperatorClient, turn: int) -> None:
    """Send a change repeatedly until it is acknowledged."""
    while True:
        try:
            await send_change(operator, turn)
            return
        except UnavailableError:
            await asyncio.sleep(POLL_INTERVAL)


async def describe_idle_cost(fleet: Fleet, seconds: float) -> str:
    """Describe the control bytes and processor time of each program without load."""
    lines = []
    for program in ("entry", "sidecar", "control"):
        names = fleet.names(program)
        before = {name: await node_cost(fleet, name) for name in names}
        await asyncio.sleep(seconds)
        after = {name: await node_cost(fleet, name) for name in names}
        sent = [(after[n][0] - before[n][0]) / seconds for n in names]
        cpu = [100 * (after[n][1] - before[n][1]) / seconds for n in names]
        lines.append(
            f"idle {program}: worst {max(sent):.0f} B/s sent, {max(cpu):.1f}% of a core"
        )
    return "\n".join(lines)


async def node_cost(fleet: Fleet, name: str) -> tuple[float, float]:
    """Return the control bytes sent and processor seconds used so far by a node."""
    sent = await fleet.metric(name, "link_control_sent_bytes_total")
    return sum(sent.values()), cpu_seconds(fleet.nodes[name].pid)


async def describe_feed_bytes(fleet: Fleet, count: int) -> str:
    """Describe the feed bytes per change and subscriber."""
    operator = operator_client(fleet)
    before = await total_feed_bytes(fleet)
    for turn in range(count):
        version, _, _ = await send_change(operator, turn)
    await fleet.wait_in_force(version)
    nodes = len(fleet.names("entry")) + len(fleet.names("sidecar"))
    each = (await total_feed_bytes(fleet) - before) / count / nodes
    return f"feed: {each:.0f} B for each change and node"


async def total_feed_bytes(fleet: Fleet) -> float:
    """Return the feed bytes sent so far by all replicas."""
    values = [await fleet.metric(n, "feed_bytes_total") for n in fleet.names("control")]
    return sum(sum(value.values()) for value in values)


async def describe_retry_storm(fleet: Fleet) -> str:
    """Let every engine refuse; describe the attempts for each caller's request."""
    engines = [n for n in fleet.names("standin") if n.startswith("engine")]
    for name in engines:
        await fleet.http.put(fleet.url(name, "/standin/mode/refuse"))
    before = await total_started(fleet, engines)
    url = fleet.url("entry-1", "/v1/chat/completions")
    headers = {"Authorization": "Bearer key-menus"}

    async def call() -> None:
        async with fleet.http.post(
            url, data=chat_body("rates", 4), headers=headers
        ) as resp:
            await resp.read()

    for _ in range(STORM_CALLS // 10):
        await asyncio.gather(*(call() for _ in range(10)))
    started = await total_started(fleet, engines) - before
    for name in engines:
        await fleet.http.put(fleet.url(name, "/standin/mode/normal"))
    return f"retry storm: {started / STORM_CALLS:.2f} attempts for each request"


async def total_started(fleet: Fleet, engines: list[str]) -> int:
    """Return the number of requests that the engines have started."""
    total = 0
    for name in engines:
        async with fleet.http.get(fleet.url(name, "/standin")) as resp:
            total += json.loads(await resp.read())["started"]
    return total


async def main_async(count: int, only_storm: bool) -> None:
    """Run all measurements and print their results."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = riga_fleet(Path(folder))
        try:
            await fleet.start_all()
            if only_storm:
                print(await describe_retry_storm(fleet))
                return
            print(await describe_idle_cost(fleet, 5), flush=True)
            print(
                await describe_propagation(fleet, "all replicas well", count),
                flush=True,
            )
            print(await describe_feed_bytes(fleet, 10), flush=True)
            frozen = await leader_name(fleet)
            fleet.nodes[frozen].signal(signal.SIGSTOP)
            await send_change_until_accepted(operator_client(fleet), 1)
            print(
                await describe_propagation(fleet, "one replica frozen", count),
                flush=True,
            )
            fleet.nodes[frozen].signal(signal.SIGCONT)
            await fleet.wait_ready(frozen)
            print(await describe_failover(fleet, 5), flush=True)
            print(await describe_retry_storm(fleet), flush=True)
        finally:
            await fleet.close()


def main() -> None:
    """Entry point; part of `make measure`."""
    args = docopt(__doc__)
    asyncio.run(main_async(int(args["--changes"]), args["--storm"]))


if __name__ == "__main__":
    main()
