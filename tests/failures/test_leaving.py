"""A leaving upstream gets no new work, and a planned stop aborts no request."""

from __future__ import annotations

import asyncio
import signal
from collections import Counter
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import aiohttp
import pytest

from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet

MODEL = "rates"
SETTLE_S = 3.0
OBSERVED_S = 2.0


def describe(fleet: Fleet, *, entries: int = 1) -> None:
    """Configure two engines whose requests take several hundred milliseconds."""
    fleet.add_control()
    fleet.add_platform()
    fleet.add_pool("rates-1", model=MODEL)
    for number in (1, 2):
        fleet.add_upstream(
            f"engine-{number}", pool="rates-1", kind="engine", token_interval=10
        )
    fleet.add_account("tellers", models=(MODEL,))
    for number in range(1, entries + 1):
        fleet.add_entry(f"entry-{number}", drain_delay=500)


async def started(fleet: Fleet, engine: str) -> int:
    """Return the number of requests that an engine has started."""
    async with fleet.http.get(fleet.url(engine, "/standin")) as resp:
        count: int = (await resp.json())["started"]
        return count


class Callers:
    """Callers that send requests until stopped, each in turn to all ready entries.

    Args:
        fleet: The fleet.
        entries: Names of the entries among which callers rotate, like a load balancer.
    """

    def __init__(self, fleet: Fleet, *, entries: list[str]) -> None:
        self.results: Counter[str] = Counter()
        self._fleet = fleet
        self._entries = entries
        self._stopping = False
        self._tasks = [asyncio.create_task(self._call(n)) for n in range(16)]

    async def stop(self) -> None:
        """Stop all callers once their current requests have ended."""
        self._stopping = True
        await asyncio.gather(*self._tasks)

    async def _call(self, number: int) -> None:
        while not self._stopping:
            number += 1
            entry = self._entries[number % len(self._entries)]
            if not await self._fleet.is_ready(entry):
                await asyncio.sleep(0.02)
                continue
            self.results[await self._chat(entry)] += 1

    async def _chat(self, entry: str) -> str:
        try:
            status, body = await self._fleet.chat(entry, "tellers", MODEL, tokens=30)
        except aiohttp.ClientConnectorError:
            return "not connected"
        except (aiohttp.ClientError, OSError) as exc:
            return repr(exc)
        whole = status == 200 and body.endswith(b"data: [DONE]\n\n")
        return "whole" if whole else f"{status} {body[-200:]!r}"


LeaveAction = Callable[["Fleet"], Awaitable[None]]


async def by_sigterm(fleet: Fleet) -> None:
    fleet.nodes["sidecar-engine-1"].signal(signal.SIGTERM)


async def by_operator(fleet: Fleet) -> None:
    code, _ = await fleet.ctl("drain", "engine-1")
    assert code == 0


async def by_platform(fleet: Fleet) -> None:
    await set_box(fleet, "leaving")


async def set_box(fleet: Fleet, state: str) -> None:
    """Set the state of the first engine's box in the platform's list."""
    url = fleet.url("platform", f"/boxes/box-engine-1/{state}")
    async with fleet.http.put(url) as resp:
        assert resp.status == 200


@pytest.mark.parametrize("leave", [by_sigterm, by_operator, by_platform])
async def test_no_new_work_and_nothing_cut(fleet: Fleet, leave: LeaveAction) -> None:
    describe(fleet)
    await fleet.start_all()
    callers = Callers(fleet, entries=["entry-1"])
    await wait_until(lambda: has_started(fleet, "engine-1", 10), "engine-1 works")
    await leave(fleet)
    await asyncio.sleep(SETTLE_S)
    before = await started(fleet, "engine-1")
    other = await started(fleet, "engine-2")
    # A platform's list that is out of date may show the box as live again.
    await set_box(fleet, "live")
    await asyncio.sleep(OBSERVED_S)
    await callers.stop()
    assert await started(fleet, "engine-1") == before
    assert await started(fleet, "engine-2") > other
    assert set(callers.results) == {"whole"}


async def test_planned_stop_of_every_entry_and_sidecar_in_turn(fleet: Fleet) -> None:
    describe(fleet, entries=2)
    await fleet.start_all()
    callers = Callers(fleet, entries=["entry-1", "entry-2"])
    names = ["sidecar-engine-1", "entry-1", "sidecar-engine-2", "entry-2"]
    for name in names:
        await wait_until(lambda: has_started(fleet, "engine-1", 5), "calls run")
        fleet.nodes[name].signal(signal.SIGTERM)
        assert await fleet.nodes[name].wait_exit() == 0
        fleet.start(name)
        await fleet.wait_ready(name)
        await fleet.wait_healthy()
    await callers.stop()
    assert callers.results.pop("whole") > 100
    callers.results.pop("not connected", None)
    assert callers.results == Counter()


async def has_started(fleet: Fleet, engine: str, count: int) -> bool:
    """Return whether an engine has started at least `count` requests."""
    return await started(fleet, engine) >= count
