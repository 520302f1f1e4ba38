"""Answers of any framing and end on the path through sidecars, with real processes."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import aiohttp

from leadseam.answer_end import Framing
from leadseam.standin.answer_plans import AnswerPlan, Finish
from leadseam.standin.service import DOCUMENT, EVENTS
from tools.ports import LOOPBACK
from tools.raw_http import exchange

if TYPE_CHECKING:
    from tools.fleet import Fleet

FIRST_EVENT = EVENTS.index(b"\n\n") + 2
ENDS = (Finish.CLOSE, Finish.RESET)
CUTS = [1, *range(FIRST_EVENT + 1, FIRST_EVENT + 12), len(EVENTS) - 1]
"""Bytes after which an event is unfinished."""


async def start(fleet: Fleet) -> None:
    """Start a fleet with one service."""
    fleet.add_control()
    fleet.add_pool("slips")
    fleet.add_upstream("slips-1", pool="slips", kind="service")
    fleet.add_account("tellers", services=("slips",))
    fleet.add_entry("entry-1")
    await fleet.start_all()


async def fetch(fleet: Fleet, path: str, method: str) -> tuple[int, bytes]:
    """Return the status, 0 for a response that broke off, and what was received."""
    received = b""
    url = fleet.url("entry-1", f"/services/slips{path}")
    headers = {"Authorization": "Bearer key-tellers"}
    try:
        async with fleet.http.request(method, url, headers=headers) as resp:
            async for data in resp.content.iter_any():
                received += data
            return resp.status, received
    except aiohttp.ClientError:
        return 0, received


async def test_no_broken_answer_passes_for_whole_through_a_sidecar(
    fleet: Fleet,
) -> None:
    await start(fleet)
    faults = []
    for framing, finish, method in itertools.product(Framing, ENDS, ("GET", "POST")):
        whole = AnswerPlan(framing)
        cuts = [("events", EVENTS, sent) for sent in CUTS]
        if (framing, finish) != (Framing.CONNECTION, Finish.CLOSE):
            cuts.append(("document", DOCUMENT, len(DOCUMENT) - 1))
        for kind, body, sent in cuts:
            plan = AnswerPlan(framing, finish, sent)
            status, received = await fetch(fleet, f"/{kind}/{plan.path()}", method)
            events = received.partition(b"event: error")[0]
            is_cut = status == 0 and events and not events.endswith(b"\n\n")
            if status == 200 or is_cut:
                faults.append((plan, method, status, received))
            # Failures in a row would take the service out.
            assert await fetch(fleet, f"/{kind}/{whole.path()}", method) == (200, body)
    assert not faults, f"{len(faults)} answers: {faults[:3]}"


async def test_a_caller_without_chunks_gets_a_broken_answer_of_a_sidecar_as_a_reset(
    fleet: Fleet,
) -> None:
    await start(fleet)
    plan = AnswerPlan(Framing.CHUNKS, Finish.CLOSE, FIRST_EVENT)
    head = (
        f"GET /services/slips/events/{plan.path()} HTTP/1.0\r\nHost: x\r\n"
        "Authorization: Bearer key-tellers\r\n\r\n"
    )
    port = fleet.nodes["entry-1"].admin
    received, is_reset = await exchange(LOOPBACK, port, head.encode())
    assert is_reset, received
