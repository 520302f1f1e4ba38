"""Crowds of clients at an entry that sends its requests through sidecars.

Guards against a process that outgrows the memory of its box because of what clients
send that this project does not control.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest

from tools.crowd import Crowd, Member
from tools.crowd_ways import BODY_BYTES, WAYS, close_after
from tools.ports import LOOPBACK
from tools.process_usage import peak_memory
from tools.raw_http import exchange
from tools.waiting import CONDITION_TIMEOUT

if TYPE_CHECKING:
    from tools.fleet import Fleet

MEMORY_BYTES = 112_000_000
"""Memory of the entry's box."""
WAITING_BYTES = 24_000_000
PATH = "/services/slips/run"
BODY_WAYS = ["large bodies", "large bodies in pieces", "large chunks", "tiny chunks"]


def start_of(call: str) -> list[str]:
    """Return the first lines of a request."""
    return [
        f"POST {PATH}/{call} HTTP/1.1",
        f"Host: {LOOPBACK}",
        "Authorization: Bearer key-tellers",
    ]


@pytest.fixture
async def crowded_fleet(fleet: Fleet) -> Fleet:
    """A running fleet whose entry holds few bytes of waiting requests."""
    fleet.add_control()
    fleet.add_pool("slips")
    fleet.add_upstream("slips-1", pool="slips", kind="service")
    fleet.add_account("tellers", services=("slips",))
    limits = {"body_bytes": BODY_BYTES, "waiting_bytes": WAITING_BYTES}
    fleet.add_entry("entry-1", limits=limits)
    await fleet.start_all()
    return fleet


@pytest.mark.parametrize("name", BODY_WAYS)
async def test_an_entry_survives_a_crowd(crowded_fleet: Fleet, name: str) -> None:
    """It stays within its box, and answers an ordinary request."""
    fleet, way = crowded_fleet, WAYS[name]
    node = fleet.nodes["entry-1"]
    address = (LOOPBACK, node.admin)
    members = [
        Member(f"crowd-{number}", way.pieces(start_of(f"crowd-{number}")))
        for number in range(way.members)
    ]
    crowd = Crowd(address, members, pause=way.pause)
    try:
        await crowd.send()
        async with asyncio.timeout(CONDITION_TIMEOUT):
            status, _ = await fleet.post("entry-1", f"{PATH}/ordinary", "tellers")
    finally:
        await crowd.leave()
    assert node.process is not None
    assert node.process.poll() is None
    assert status == 200
    assert peak_memory(node.pid) <= MEMORY_BYTES


@pytest.mark.parametrize("name", BODY_WAYS)
async def test_one_request_of_any_form_is_served(
    crowded_fleet: Fleet, name: str
) -> None:
    """A client inside the limits is served while nobody else uses the entry."""
    request = close_after(b"".join(WAYS[name].pieces(start_of("alone"))))
    node = crowded_fleet.nodes["entry-1"]
    received, _ = await exchange(LOOPBACK, node.admin, request)
    assert received.startswith(b"HTTP/1.1 200 ")
