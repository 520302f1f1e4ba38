"""An acknowledged configuration comes into force on all nodes and is never reverted.

After each failure, every acknowledged change must be in force on all running nodes, and
the version that a node logs must never have decreased.
"""

from __future__ import annotations

import asyncio
import json
import re
import shutil
import signal
from typing import TYPE_CHECKING, Any

from leadseam.cli._client import OperatorClient
from leadseam.control.configuration import Drain
from leadseam.schema import operator_pb2 as pb
from leadseam.schema.convert import operation_to_message
from leadseam.settings.models import Endpoint
from tools.faults import proxy_replica
from tools.fleet import OPERATOR_TOKEN
from tools.ports import LOOPBACK
from tools.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path

    from tools.fleet import Fleet

OBSERVATION_TIME = 1.5
"""Seconds for which a subscribed entry must stay without a configuration."""
MANY_CHANGES = 1_100
"""Changes after which the log has been compacted."""
CONTROL = ("control-1", "control-2", "control-3")


def describe(fleet: Fleet) -> None:
    """Define a fleet of one upstream, two entries and the control group."""
    fleet.add_control()
    fleet.add_pool("slips")
    fleet.add_upstream("slips-1", pool="slips", kind="service")
    fleet.add_account("tellers", services=("slips",))
    fleet.add_entry("entry-1")
    fleet.add_entry("entry-2")


async def change(fleet: Fleet, share: int, *extra: str) -> tuple[int, dict[str, Any]]:
    """Change the account's share; return the exit code and the reply."""
    fleet.config["accounts"][0]["share"] = share
    path = fleet.folder / f"desired-{share}.yaml"
    path.write_text(json.dumps(fleet.config))
    code, out = await fleet.ctl("--json", "apply", str(path), *extra)
    return code, json.loads(out) if out else {}


async def status(fleet: Fleet) -> list[dict[str, Any]]:
    """Return the status of each replica."""
    _, out = await fleet.ctl("--json", "status")
    rows: list[dict[str, Any]] = json.loads(out)
    return rows


async def leader(fleet: Fleet) -> str:
    """Wait for a single leader with a lease and return its name."""
    found: list[str] = []

    async def known() -> bool:
        rows = await status(fleet)
        found[:] = [
            row["identity"].partition("#")[0]
            for row in rows
            if row["role"] == "leader" and row["current"]
        ]
        return len(found) == 1

    await wait_until(known, "one replica leads")
    return found[0]


async def share_in_force(fleet: Fleet) -> int:
    """Return the account's share as operators read it."""
    code, out = await fleet.ctl("--json", "get")
    assert code == 0
    share: int = json.loads(out)["accounts"][0]["share"]
    return share


def assert_never_fell(fleet: Fleet) -> None:
    """Check in every node's log that versions only increased between two starts."""
    for name in (*fleet.names("entry"), *fleet.names("sidecar")):
        version = 0
        for line in fleet.nodes[name].log.read_text().splitlines():
            if '"message": "started"' in line:
                version = 0
            match = re.search(
                r'"message": "configuration in force", "version": (\d+)', line
            )
            if match:
                assert int(match[1]) > version
                version = int(match[1])


async def test_leader_killed(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    old = await leader(fleet)
    code, reply = await change(fleet, 2)
    assert code == 0
    fleet.nodes[old].kill()
    code, reply = await change(fleet, 3)
    assert (code, reply["status"]) == (0, "accepted")
    await fleet.wait_in_force(reply["version"])
    fleet.start(old)
    await fleet.wait_ready(old)
    assert await share_in_force(fleet) == 3
    assert_never_fell(fleet)


async def test_leader_frozen_and_woken(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    old = await leader(fleet)
    fleet.nodes[old].signal(signal.SIGSTOP)
    code, reply = await change(fleet, 4)
    assert code == 0
    await fleet.wait_in_force(reply["version"])
    fleet.nodes[old].signal(signal.SIGCONT)
    await fleet.wait_ready(old)
    code, reply = await change(fleet, 5)
    assert code == 0
    await fleet.wait_in_force(reply["version"])
    assert await share_in_force(fleet) == 5
    assert_never_fell(fleet)


async def test_partitioned_replica_sends_no_configuration(fleet: Fleet) -> None:
    describe(fleet)
    links = {name: await proxy_replica(fleet, name) for name in CONTROL}
    await fleet.start_all()
    old = await leader(fleet)
    links[old].hold(to_target=True, from_target=False)
    code, reply = await change(fleet, 6)
    assert code == 0
    await fleet.wait_in_force(reply["version"])
    links[old].release()
    await fleet.wait_ready(old)
    code, reply = await change(fleet, 7)
    assert code == 0
    await fleet.wait_in_force(reply["version"])
    assert_never_fell(fleet)


async def test_disk_lost_then_a_second_box(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    code, reply = await change(fleet, 8)
    assert code == 0
    leading = await leader(fleet)
    first, second = (name for name in CONTROL if name != leading)
    lose_disk(fleet, first)
    fleet.start(first)
    await wait_until(lambda: replaced(fleet, first), f"{first} votes on its new disk")
    fleet.nodes[second].kill()
    code, reply = await change(fleet, 9)
    assert code == 0
    await fleet.wait_in_force(reply["version"])
    lose_disk(fleet, second)
    fleet.start(second)
    await wait_until(lambda: replaced(fleet, second), f"{second} votes on its new disk")
    assert await share_in_force(fleet) == 9
    assert_never_fell(fleet)


async def test_replica_with_a_lost_disk_cannot_bootstrap_again(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    fleet.nodes["control-1"].kill()
    fleet.start("control-1", "--found")
    assert await fleet.nodes["control-1"].wait_exit() != 0


async def test_operators_race_with_equal_versions(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    ends = [Endpoint(ip=LOOPBACK, port=port) for port in fleet.operator_ports]
    first, second = (
        OperatorClient(order, OPERATOR_TOKEN) for order in (ends, ends[::-1])
    )
    version = 1
    for turn in range(20):
        replies = await asyncio.gather(
            first.apply(drain(f"first-{turn}", version)),
            second.apply(drain(f"second-{turn}", version)),
        )
        assert sorted(reply.status for reply in replies) == ["accepted", "conflict"]
        version += 1
        assert {reply.version for reply in replies} == {version}
    assert_never_fell(fleet)


async def test_a_read_shows_what_was_acknowledged_before(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    for share in range(2, 12):
        code, reply = await change(fleet, share)
        assert (code, reply["status"]) == (0, "accepted")
        for port in fleet.operator_ports:
            address = f"{LOOPBACK}:{port}"
            code, out = await fleet.ctl("--json", "--control", address, "get")
            assert json.loads(out)["accounts"][0]["share"] == share


async def test_resend_gets_the_first_answer(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    code, first = await change(fleet, 20, "--change-id", "once")
    assert code == 0
    code, _ = await change(fleet, 21)
    assert code == 0
    old = await leader(fleet)
    fleet.nodes[old].kill()
    code, again = await change(fleet, 22, "--change-id", "once")
    assert (code, again) == (0, first)
    assert await share_in_force(fleet) == 21


async def test_all_replicas_killed_at_once(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    code, reply = await change(fleet, 23)
    assert code == 0
    for name in CONTROL:
        fleet.nodes[name].kill()
    status_code, _ = await fleet.post(
        "entry-1", "/services/slips/run/a", "tellers", b"{}"
    )
    assert status_code == 200
    for name in CONTROL:
        fleet.start(name)
    await fleet.wait_ready(*CONTROL)
    await fleet.wait_in_force(reply["version"])
    assert await share_in_force(fleet) == 23
    assert_never_fell(fleet)


async def test_node_without_control_is_not_ready(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    for name in CONTROL[:2]:
        fleet.nodes[name].kill()
    await wait_until(
        lambda: is_not_ready(fleet, CONTROL[2]), "the last replica is not ready"
    )
    fleet.nodes["entry-1"].kill()
    fleet.start("entry-1")
    await wait_until(
        lambda: has_subscribed(fleet, "entry-1"), "entry-1 follows the last replica"
    )
    await asyncio.sleep(OBSERVATION_TIME)
    assert not await fleet.is_ready("entry-1")
    status_code, body = await fleet.post(
        "entry-1", "/services/slips/run/a", "tellers", b"{}"
    )
    assert (status_code, json.loads(body)["error"]["code"]) == (
        503,
        "no_configuration",
    )
    for name in CONTROL[:2]:
        fleet.start(name)
    await fleet.wait_ready("entry-1")


async def test_restarts_after_hundreds_of_changes(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    leading = await leader(fleet)
    away = next(name for name in CONTROL if name != leading)
    fleet.nodes[away].kill()
    ends = [Endpoint(ip=LOOPBACK, port=port) for port in fleet.operator_ports]
    operator = OperatorClient(ends, OPERATOR_TOKEN)
    # Enough for a compaction, so that the stopped replica needs a snapshot.
    for version in range(1, 1 + MANY_CHANGES):
        reply = await operator.apply(drain(f"many-{version}", version))
        assert (reply.status, reply.version) == ("accepted", version + 1)
    fleet.start(away)
    await fleet.wait_ready(away)
    nodes = [*CONTROL, *fleet.names("sidecar"), *fleet.names("entry")]
    for name in nodes:
        fleet.nodes[name].kill()
    for name in nodes:
        fleet.start(name)
    await fleet.wait_ready(*nodes)
    await fleet.wait_in_force(1 + MANY_CHANGES)
    again = await operator.apply(drain("many-7", 7))
    assert (again.status, again.version) == ("accepted", 8)
    assert sorted(path.name for path in data_files(fleet, away)) != ["journal-1"]
    assert_never_fell(fleet)


async def test_wrong_token_is_refused(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    code, _ = await fleet.ctl("get", token="wrong")
    assert code == 5


async def test_invalid_change_is_refused_whole(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    fleet.config["accounts"][0]["max_waiting"] = 0
    fleet.config["upstreams"][0]["pool"] = "nowhere"
    code, reply = await change(fleet, 0)
    assert code == 1
    assert len(reply["faults"]) == 3
    assert await share_in_force(fleet) == 1


def drain(change_id: str, version: int) -> pb.ApplyRequest:
    """Return a change that sets `draining` and expects a version."""
    operation = operation_to_message(Drain("slips-1", False))
    return pb.ApplyRequest(
        change_id=change_id, expect_version=version, operations=[operation]
    )


def data_files(fleet: Fleet, name: str) -> list[Path]:
    """Return the journals of a replica. A number above 1 shows a compaction."""
    return list((fleet.folder / f"data-{name}").glob("journal-*"))


def lose_disk(fleet: Fleet, name: str) -> None:
    """Kill a replica and remove its data."""
    fleet.nodes[name].kill()
    folder = fleet.folder / f"data-{name}"
    shutil.rmtree(folder)
    folder.mkdir()


async def replaced(fleet: Fleet, name: str) -> bool:
    """Return whether a box votes with a new identity and its old one is removed."""
    for row in await status(fleet):
        if row["role"] == "leader" and row["current"]:
            mine = [voter for voter in row["voters"] if voter.startswith(f"{name}#")]
            return len(row["voters"]) == 3 and mine != [f"{name}#first"]
    return False


async def is_not_ready(fleet: Fleet, name: str) -> bool:
    """Return whether a process reports that it is not ready."""
    return not await fleet.is_ready(name)


async def has_subscribed(fleet: Fleet, name: str) -> bool:
    """Return whether a restarted node has subscribed and has no configuration."""
    rows = await status(fleet)
    held = [node for row in rows for node in row.get("subscribers", ())]
    return {"node": name, "in_force": "0"} in held
