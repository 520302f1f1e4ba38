"""Events that no run made reach no caller, and end no answer as complete."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import pytest

from leadseam.answer_end import Framing
from leadseam.standin.answer_plans import AnswerPlan
from leadseam.standin.spoilt_streams import Spoil
from tests.platform.test_answer_ends import ends_with_event
from tools.platform.standin import WHOLE_STREAM, event
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Answer, Platform

EVENT_PAUSE = 0.02
"""Seconds between two events that arrive one by one."""
SPOILT = [way for way in Spoil if way is not Spoil.NONE]


def verdict(answer: Answer) -> str:
    """Return what is wrong with the stream that a caller got, or nothing."""
    if answer.status == 200 and not answer.cut and answer.body != WHOLE_STREAM:
        return f"passes for whole: {answer.body!r}"
    is_part = WHOLE_STREAM.startswith(answer.body) and ends_with_event(answer.body)
    if answer.cut and not is_part:
        return f"events that no run made: {answer.body!r}"
    return ""


async def test_no_event_that_no_run_made_reaches_a_caller(platform: Platform) -> None:
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "stream")
    faults = []
    cases = itertools.product(SPOILT, Framing, ("stream", "stream-fixed"))
    for number, (way, framing, route) in enumerate(cases):
        plan = AnswerPlan(framing, number=number, spoil=way)
        answer = await platform.call(entry, f"/{route}/{plan.path()}")
        if fault := verdict(answer):
            faults.append(f"{route} {framing} {way}: {fault}")
    calls = len(SPOILT) * len(Framing) * 2
    assert not faults, "\n".join([f"{len(faults)} of {calls} calls", *faults])


async def test_a_request_that_was_answered_badly_is_not_refused_as_a_deadly_one(
    platform: Platform,
) -> None:
    plan = AnswerPlan(Framing.CHUNKS, spoil=Spoil.RUBBISH_FIRST)
    answers = [
        await platform.call(platform.entry_ips[0], f"/stream-fixed/{plan.path()}")
        for _ in range(8)
    ]
    assert [answer.status for answer in answers] == [502] * 8


@pytest.mark.parametrize(
    ("route", "action", "fault"),
    [
        ("stream-fixed", "encoded", "encoded"),
        ("once", "encoded", "encoded"),
        ("stream-fixed", "mistyped", "no_events"),
        ("once", "unsigned", "unsigned"),
        ("once", "foreign", "other_request"),
    ],
)
async def test_an_answer_with_another_head_than_due_is_not_passed_on(
    platform: Platform, route: str, action: str, fault: str
) -> None:
    for server in platform.servers:
        server.actions["x"] = action
    entry = platform.entry_ips[0]
    answer = await platform.call(entry, f"/{route}/x", request_id="bad")
    assert (answer.status, WHOLE_STREAM in answer.body) == (502, False)
    lines = [one for one in platform.log(entry) if one.get("request") == "bad"]
    assert [one["head"] for one in lines if "head" in one] == [fault] * 2


async def test_the_line_of_a_spoilt_event_names_its_upstream_and_what_it_sent(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    plan = AnswerPlan(Framing.CHUNKS, spoil=Spoil.NO_ID)
    await platform.call(entry, f"/stream-fixed/{plan.path()}", request_id="bad")
    [server] = [one for one in platform.servers if one.count("bad")]
    [line] = [
        one for one in platform.log(entry) if one["message"].startswith("upstream sent")
    ]
    assert line["instance"].startswith(server.instance)
    assert line["received"] == r"data: none\n\n"
    told = [line[key] for key in ("request", "spoilt", "due", "last_event", "answers")]
    assert told == ["bad", "no_id", 4, "3", 1]


async def test_the_answer_to_a_head_request_needs_no_events(platform: Platform) -> None:
    entry = platform.entry_ips[0]
    plan = AnswerPlan(Framing.LENGTH, sent=0)
    answer = await platform.call(
        entry, f"/stream-fixed/{plan.path()}", method="HEAD", body=b""
    )
    assert (answer.status, answer.body) == (200, b"")


@pytest.mark.parametrize(
    ("route", "cut", "received"),
    [
        ("stream", False, WHOLE_STREAM),
        ("stream-fixed", True, b"".join(map(event, (1, 2, 3)))),
    ],
)
async def test_a_spoilt_event_that_arrives_by_itself_is_noticed_at_once(
    platform: Platform, route: str, cut: bool, received: bytes
) -> None:
    """Events that arrive one by one do not wake the task that relays the answer."""
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "stream")
    for server in platform.servers:
        server.actions["x"] = "spoil"
        server.delay = EVENT_PAUSE
    answer = await platform.call(entry, f"/{route}/x", request_id="bad")
    assert (answer.cut, answer.body) == (cut, received)
    lines = [one for one in platform.log(entry) if one.get("request") == "bad"]
    faults = [one["spoilt"] for one in lines if "spoilt" in one]
    assert faults
    assert set(faults) == {"no_id"}


async def test_a_stream_goes_on_at_a_failing_upstream_if_there_is_no_other(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "stream")
    servers = [one for one in platform.servers if one.service == "model"]
    # Most requests go to the server that the entry prefers for their prompt.
    failing, other = sorted(servers, key=lambda one: len(one.runs), reverse=True)
    failing.actions["bad"] = "foreign"
    other.actions["x"] = "lose"
    numbers = itertools.count()

    async def goes_on() -> bool:
        """Return whether the failing one was left alone when the stream began."""
        number = next(numbers)
        bad, goes_on = f"bad-{number}", f"goes-on-{number}"
        await platform.call(entry, "/stream-fixed/bad", request_id=bad)
        lines = platform.log(entry)
        left = any(one["message"].startswith("upstream left alone") for one in lines)
        if not left or failing.count(bad):
            return False
        answer = await platform.call(entry, "/stream/x", request_id=goes_on)
        if not other.count(goes_on):
            return False
        assert [one.count(goes_on) for one in servers] == [1, 1]
        assert (answer.cut, answer.body) == (False, WHOLE_STREAM)
        return True

    await wait_until(goes_on, "the failing upstream is left alone")
