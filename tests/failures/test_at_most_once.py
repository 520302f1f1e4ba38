"""Requests that must not be repeated run at most once, and "not run" is true.

The outcomes reported to callers are compared with the executions that the stand-in of
the transaction service counts itself.
"""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp

from tools.faults import proxy_sidecar
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet

ONCE = {"X-Leadseam-Repeatable": "no"}
BROKEN = "broken"
DISPATCH_DELAY_S = 0.2


def describe(fleet: Fleet, *, upstreams: int = 2, entries: int = 2) -> None:
    """Configure a fleet with a pool of plain services."""
    fleet.add_control()
    fleet.add_pool("slips")
    for number in range(1, upstreams + 1):
        fleet.add_upstream(
            f"slips-{number}", pool="slips", kind="service", service_time=20
        )
    fleet.add_account("tellers", services=("slips",))
    for number in range(1, entries + 1):
        fleet.add_entry(f"entry-{number}")


async def call_outcome(
    fleet: Fleet, entry: str, name: str, headers: dict[str, str] | None = None
) -> str:
    """Send one call and return the outcome reported to the caller."""
    path = f"/services/slips/run/{name}"
    try:
        status, body = await fleet.post(
            entry, path, "tellers", b"{}", {**ONCE, **(headers or {})}
        )
    except (aiohttp.ClientError, OSError):
        return BROKEN
    if status == 200:
        return "answered"
    outcome: str = json.loads(body)["error"]["outcome"]
    return outcome


async def check(fleet: Fleet, reported: dict[str, list[str]]) -> None:
    """Compare the reported outcomes of every call with its actual executions."""
    runs = await fleet.runs()
    assert max(runs.values()) == 1
    for name, outcomes in reported.items():
        ran = runs.get(name, 0)
        if set(outcomes) == {"not_run"}:
            assert ran == 0, f"{name} was reported as not_run, but ran"
        if "answered" in outcomes:
            assert ran == 1, f"{name} was reported as answered, but did not run"


async def run_calls(
    fleet: Fleet, count: int, *, parallel: int, entries: int
) -> dict[str, list[str]]:
    """Send many calls, each once, and return the outcome reported for each."""
    reported: dict[str, list[str]] = {}
    numbers = iter(range(count))

    async def caller() -> None:
        for number in numbers:
            entry = f"entry-{number % entries + 1}"
            reported[f"n{number}"] = [await call_outcome(fleet, entry, f"n{number}")]

    await asyncio.gather(*(caller() for _ in range(parallel)))
    return reported


async def test_links_cut_repeatedly(fleet: Fleet) -> None:
    describe(fleet)
    links = [await proxy_sidecar(fleet, f"slips-{number}") for number in (1, 2)]
    await fleet.start_all()
    calls = asyncio.create_task(run_calls(fleet, 2_000, parallel=24, entries=2))
    cuts = 0
    while not calls.done():
        await links[cuts % 2].cut()
        cuts += 1
        await asyncio.sleep(0.15)
    reported = await calls
    await check(fleet, reported)
    counts = Counter(outcome for outcomes in reported.values() for outcome in outcomes)
    assert counts["answered"] > 0
    assert BROKEN not in counts


async def test_sidecar_killed_under_load(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    calls = asyncio.create_task(run_calls(fleet, 1_000, parallel=24, entries=2))
    for number in range(4):
        name = f"sidecar-slips-{number % 2 + 1}"
        await wait_until(lambda: some_ran(fleet, 20), "calls run")
        fleet.nodes[name].kill()
        fleet.start(name)
        await fleet.wait_ready(name)
    await check(fleet, await calls)


async def test_entry_killed_under_load(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    calls = asyncio.create_task(run_calls(fleet, 600, parallel=24, entries=2))
    for _ in range(3):
        await wait_until(lambda: some_ran(fleet, 20), "calls run")
        fleet.nodes["entry-1"].kill()
        fleet.start("entry-1")
        await fleet.wait_ready("entry-1")
    await check(fleet, await calls)


async def test_large_answer_to_a_dead_entry_frees_its_slot(fleet: Fleet) -> None:
    describe(fleet, upstreams=1)
    fleet.config["upstreams"][0]["slots"] = 1
    await fleet.start_all()
    path = "/services/slips/run/a?padding=3000000"
    call = asyncio.create_task(fleet.post("entry-1", path, "tellers", b"{}", ONCE))
    await wait_until(lambda: some_ran(fleet, 1), "the call runs")
    fleet.nodes["entry-1"].kill()
    await asyncio.gather(call, return_exceptions=True)
    assert await call_outcome(fleet, "entry-2", "b") == "answered"
    assert await fleet.runs() == {"a": 1, "b": 1}


async def test_sidecar_suspended_and_resumed(fleet: Fleet) -> None:
    describe(fleet, upstreams=1, entries=1)
    await fleet.start_all()
    sidecar = fleet.nodes["sidecar-slips-1"]
    calls = asyncio.create_task(run_calls(fleet, 60, parallel=8, entries=1))
    await wait_until(lambda: some_ran(fleet, 5), "calls run")
    sidecar.signal(signal.SIGSTOP)
    await wait_until(
        lambda: is_unusable(fleet, "slips-1"), "the entry has closed the link"
    )
    sidecar.signal(signal.SIGCONT)
    await check(fleet, await calls)


async def test_replies_of_a_started_call_are_delayed(fleet: Fleet) -> None:
    describe(fleet, upstreams=1, entries=1)
    link = await proxy_sidecar(fleet, "slips-1")
    await fleet.start_all()
    calls = asyncio.create_task(run_calls(fleet, 80, parallel=12, entries=1))
    await wait_until(lambda: some_ran(fleet, 10), "calls run")
    # The proxy first delays the dispatches, then only the sidecar's replies.
    link.hold(to_target=True, from_target=False)
    await asyncio.sleep(DISPATCH_DELAY_S)
    link.hold(to_target=False, from_target=True)
    await wait_until(
        lambda: is_unusable(fleet, "slips-1"), "the entry has closed the link"
    )
    link.release()
    await check(fleet, await calls)


async def test_resend_through_another_entry_gets_the_first_answer(
    fleet: Fleet,
) -> None:
    describe(fleet)
    await fleet.start_all()
    key = {"Idempotency-Key": "slip-7"}
    first = await fleet.post(
        "entry-1", "/services/slips/run/a", "tellers", b"{}", ONCE | key
    )
    await wait_until(
        lambda: answer_recorded(fleet, first[1], key), "the answer is recorded"
    )
    assert await fleet.runs() == {"a": 1}


async def test_a_disconnected_caller_gets_its_answer_by_a_resend(fleet: Fleet) -> None:
    describe(fleet, upstreams=1)
    fleet.nodes["slips-1"].settings["service_time"] = 500
    await fleet.start_all()
    key = {"Idempotency-Key": "slip-5"}
    path = "/services/slips/run/a"
    task = asyncio.create_task(
        fleet.post("entry-1", path, "tellers", b"{}", ONCE | key)
    )
    await wait_until(lambda: some_ran(fleet, 1), "the call runs")
    task.cancel()
    answer = b'{"name": "a", "run": 1, "size": 2}'
    await wait_until(
        lambda: answer_recorded(fleet, answer, key), "the answer is recorded"
    )
    assert await fleet.runs() == {"a": 1}


async def test_two_resends_at_once_run_once(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    reported: dict[str, list[str]] = {}
    for number in range(100):
        name = f"k{number}"
        headers = {"Idempotency-Key": name}
        reported[name] = list(
            await asyncio.gather(
                call_outcome(fleet, "entry-1", name, headers),
                call_outcome(fleet, "entry-2", name, headers),
            )
        )
    runs = await fleet.runs()
    assert set(runs.values()) == {1}
    assert len(runs) == 100
    assert all("not_run" not in outcomes for outcomes in reported.values())


async def test_key_of_another_request_is_refused(fleet: Fleet) -> None:
    describe(fleet, entries=1)
    await fleet.start_all()
    headers = {"Idempotency-Key": "slip-8"}
    assert await call_outcome(fleet, "entry-1", "a", headers) == "answered"
    assert await call_outcome(fleet, "entry-1", "b", headers) == "not_run"
    assert await fleet.runs() == {"a": 1}


async def test_no_quorum_means_not_run(fleet: Fleet) -> None:
    describe(fleet, entries=1)
    await fleet.start_all()
    for name in ("control-1", "control-2"):
        fleet.nodes[name].kill()
    headers = {"Idempotency-Key": "slip-9"}
    assert await call_outcome(fleet, "entry-1", "a", headers) == "not_run"
    assert await fleet.runs() == {}


async def test_unreachable_upstream_means_not_run(fleet: Fleet) -> None:
    describe(fleet, upstreams=1, entries=1)
    await fleet.start_all()
    fleet.nodes["slips-1"].kill()
    outcomes = {await call_outcome(fleet, "entry-1", f"u{n}") for n in range(3)}
    assert outcomes == {"not_run"}


async def some_ran(fleet: Fleet, count: int) -> bool:
    """Return whether at least `count` calls have run."""
    return len(await fleet.runs()) >= count


async def is_unusable(fleet: Fleet, upstream: str) -> bool:
    """Return whether the first entry considers an upstream's sidecar unusable."""
    values = await fleet.metric("entry-1", "sidecar_usable")
    return values[f'upstream="{upstream}"'] == 0.0


async def answer_recorded(fleet: Fleet, first: bytes, key: dict[str, str]) -> bool:
    """Return whether a resend through the second entry gets the first answer."""
    status, body = await fleet.post(
        "entry-2", "/services/slips/run/a", "tellers", b"{}", ONCE | key
    )
    return (status, body) == (200, first)
