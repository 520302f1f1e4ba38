"""Events that no run made do not pass through a sidecar, with real processes."""

from __future__ import annotations

import itertools
import json
from typing import TYPE_CHECKING

import pytest

from leadseam.answer_end import Framing
from leadseam.standin.answer_plans import AnswerPlan
from leadseam.standin.engine import SPOILT_BLOCKS
from leadseam.standin.service import EVENTS
from leadseam.standin.spoilt_streams import Spoil
from tests.failures import test_answer_ends as services
from tests.failures.test_whole_answers import describe, send_chat, set_mode, words
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet

UNSTATED = (Spoil.NONE, Spoil.NO_EVENTS)
"""A service does not state that its streams have events."""
ERROR_EVENT = b"event: error"
TOKENS = 4


async def test_no_event_that_no_run_made_passes_through_a_sidecar(
    fleet: Fleet,
) -> None:
    await services.start(fleet)
    ways = [way for way in Spoil if way not in UNSTATED]
    faults = []
    for way, framing, method in itertools.product(ways, Framing, ("GET", "POST")):
        plan = AnswerPlan(framing, spoil=way)
        status, received = await services.fetch(fleet, f"/events/{plan.path()}", method)
        events = received.partition(ERROR_EVENT)[0]
        is_part = EVENTS.startswith(events) and (not events or events.endswith(b"\n\n"))
        if status == 200 or not is_part:
            faults.append(f"{way} {framing} {method}: {status} {received!r}")
        # Failures in a row would take the service out.
        whole = AnswerPlan(framing).path()
        assert await services.fetch(fleet, f"/events/{whole}", method) == (200, EVENTS)
    calls = len(ways) * len(Framing) * 2
    assert not faults, "\n".join([f"{len(faults)} of {calls} calls", *faults])


@pytest.mark.parametrize("way", SPOILT_BLOCKS)
async def test_no_event_that_no_engine_writes_passes_through_a_sidecar(
    fleet: Fleet, way: str
) -> None:
    describe(fleet)
    await fleet.start_all()
    await set_mode(fleet, "engine-1", way)
    whole, data = await send_chat(fleet, TOKENS)
    events = data.partition(ERROR_EVENT)[0].split(b"\n\n")[:-1]
    assert not whole
    assert words(data) == ["t0", "t1"]
    assert len(events) == 2


async def test_the_spoilt_answer_is_logged_with_its_upstream(fleet: Fleet) -> None:
    await services.start(fleet)
    plan = AnswerPlan(Framing.CHUNKS, spoil=Spoil.NO_ID)
    await services.fetch(fleet, f"/events/{plan.path()}", "GET")

    async def is_logged() -> bool:
        log = (fleet.folder / "sidecar-slips-1.log").read_bytes()
        lines = [json.loads(one) for one in log.splitlines() if one.startswith(b"{")]
        found = [one for one in lines if one.get("spoilt") == "no_id"]
        return [one["due"] for one in found] == [3]

    await wait_until(is_logged, "the sidecar has logged the event")
