"""Answers of any framing, end and place reach callers whole or visibly broken."""

from __future__ import annotations

import asyncio
import itertools
from collections import Counter
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import pytest

from leadseam.answer_end import Framing
from leadseam.platform import names
from leadseam.standin.answer_plans import AnswerPlan, Finish
from tools.platform.nodes import HOST, KEY
from tools.platform.standin import LARGE_BODY, PLAIN_BODY, WHOLE_STREAM, event
from tools.raw_http import exchange
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.platform.nodes import Answer, Platform

CONCURRENT_CALLS = 6
BUSY_PAUSE = 0.2
"""Seconds before a request is sent again that a busy entry has refused."""
FIRST_EVENTS = len(event(1) + event(2))
"""Bytes of the first two events."""
STREAM_PLACES = [0, *range(len(event(1)), FIRST_EVENTS + 1)]
"""Before the first byte, between two events, and after each byte of the second one."""
CRLF_STREAM_PLACES = range(len(event(1)) + 3, FIRST_EVENTS + 7)
PLAIN_PLACES = [0, 1, len(PLAIN_BODY) - 1]
LARGE_PLACES = [1_200_000, len(LARGE_BODY) - 1]
ENDS = [Finish.CLOSE, Finish.RESET]


@dataclass(frozen=True, slots=True)
class Case:
    """One cell of the matrix.

    Args:
        route: Path of the route, and of the kind of body.
        plan: How the server answers.
        body: The server's whole body.
    """

    route: str
    plan: AnswerPlan
    body: bytes

    @property
    def undecidable(self) -> bool:
        """Whether an answer that is cut like this looks like a whole one."""
        plan = self.plan
        delimited = plan.framing is not Framing.CONNECTION
        if plan.whole or delimited or plan.finish is not Finish.CLOSE:
            return False
        return "stream" not in self.route or self.is_between_events

    @property
    def is_between_events(self) -> bool:
        """Whether the server stops between two events of a stream."""
        return ends_with_event(self.body[: self.plan.sent])

    def verdict(self, answer: Answer) -> str:
        """Return what is wrong with the answer that a caller got, or nothing."""
        if answer.status in (200, 500) and not answer.cut:
            if answer.body == self.body or self.undecidable:
                return ""
            return f"a part of {len(answer.body)} bytes passes for whole"
        if self.plan.whole:
            return f"a whole answer is taken for broken: {answer}"
        if "stream" in self.route and answer.cut:
            is_part = self.body.startswith(answer.body)
            if not is_part or not ends_with_event(answer.body):
                return f"bytes of an unfinished event: {answer.body!r}"
        return ""


def ends_with_event(data: bytes) -> bool:
    """Return whether no event is unfinished at the end of a part of a stream."""
    return not data or data.endswith((b"\n\n", b"\r\n\r\n"))


def cases() -> Iterator[Case]:
    """Return all cells of the matrix, and each whole answer a few times."""
    numbers = itertools.count()

    def case(route: str, framing: Framing, body: bytes, **how: object) -> Case:
        plan = AnswerPlan(framing, number=next(numbers), **how)  # type: ignore[arg-type]
        return Case(route, plan, body)

    crlf_stream = WHOLE_STREAM.replace(b"\n", b"\r\n")
    for framing, finish in itertools.product(Framing, ENDS):
        for route in ("stream", "stream-fixed"):
            for sent in STREAM_PLACES:
                yield case(route, framing, WHOLE_STREAM, finish=finish, sent=sent)
            for sent in CRLF_STREAM_PLACES:
                yield case(
                    route, framing, crlf_stream, finish=finish, sent=sent, crlf=True
                )
            # More new requests than retries, for the retry budget.
            for crlf in (False, True) * 8:
                body = crlf_stream if crlf else WHOLE_STREAM
                yield case(route, framing, body, crlf=crlf)
        for route in ("safe", "once", "safe/failure"):
            for sent in (*PLAIN_PLACES, -1, -1):
                yield case(route, framing, PLAIN_BODY, finish=finish, sent=sent)
        for sent in (*LARGE_PLACES, -1):
            yield case("safe/large", framing, LARGE_BODY, finish=finish, sent=sent)


async def test_no_broken_answer_passes_for_whole_at_any_framing_end_and_place(
    platform: Platform,
) -> None:
    faults: Counter[str] = Counter()
    all_cases = [one for one in cases() if is_certain(one)]
    waiting = iter(all_cases)

    async def call_each() -> None:
        for case in waiting:
            plan = case.plan
            answer = await platform.call(
                platform.entry_ips[0],
                f"/{case.route}/{plan.path()}",
                request_id=f"case-{plan.number}",
            )
            if fault := case.verdict(answer):
                name = f"{case.route} {plan.framing} {plan.finish} {plan.number}"
                faults[f"{name}: {fault}"] += 1

    await asyncio.gather(*(call_each() for _ in range(CONCURRENT_CALLS)))
    detail = "\n".join(f"{count} x {fault}" for fault, count in faults.items())
    assert not faults, f"{faults.total()} of {len(all_cases)} calls\n{detail}"


async def test_no_answer_of_a_silent_upstream_passes_for_whole(
    platform: Platform,
) -> None:
    held = [
        (route, framing, sent)
        for route, sent in (
            ("stream", FIRST_EVENTS),
            ("stream-fixed", FIRST_EVENTS + 5),
            ("safe", 1),
            ("safe/large", LARGE_PLACES[0]),
        )
        for framing in Framing
    ]
    answers = await asyncio.gather(
        *(
            platform.call(
                platform.entry_ips[0],
                f"/{route}/{AnswerPlan(framing, Finish.HOLD, sent).path()}",
                request_id=f"held-{number}",
            )
            for number, (route, framing, sent) in enumerate(held)
        )
    )
    for (route, _, _), answer in zip(held, answers, strict=True):
        if answer.status == 200 and not answer.cut:
            assert answer.body in (WHOLE_STREAM, PLAIN_BODY, LARGE_BODY), route


def is_certain(case: Case) -> bool:
    """Return whether the verdict is certain: not so for a reset after all bytes."""
    return not (case.plan.whole and case.plan.finish is Finish.RESET)


async def test_a_stream_that_closes_inside_an_event_goes_on_at_another_upstream(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "stream")
    plan = AnswerPlan(Framing.CONNECTION, sent=FIRST_EVENTS + 5)
    answer = await platform.call(entry, f"/stream/{plan.path()}", request_id="goes-on")
    assert (answer.status, answer.body, answer.cut) == (200, WHOLE_STREAM, False)
    runs = [server.count("goes-on") for server in platform.servers_of("model")]
    assert runs == [1, 1]
    lines = [one for one in platform.log(entry) if one.get("request") == "goes-on"]
    failed, ended = lines
    assert failed["message"] == "attempt failed"
    assert [failed[key] for key in ("framing", "close", "unfinished")] == [
        "connection",
        "closed",
        5,
    ]
    assert (ended["outcome"], ended["unfinished"]) == ("answered", 0)


async def call_http_1_0(platform: Platform, path: str) -> tuple[bytes, bool]:
    """Send a request as HTTP/1.0; return the response and whether it was reset.

    A request that a busy entry refuses unread is sent again, as by `Platform.call`.
    """
    head = (
        f"POST {path} HTTP/1.0\r\nHost: {HOST}\r\n{names.REQUEST_ID}: old-{path}\r\n"
        f"{names.AUTHORIZATION}: {names.BEARER}{KEY}\r\n{names.DEADLINE}: 5000\r\n"
        "Content-Length: 2\r\n\r\n{}"
    )
    while True:
        response, is_reset = await exchange(
            platform.entry_ips[0], platform.front_port, head.encode()
        )
        if b'"entry_busy"' not in response:
            return response, is_reset
        await asyncio.sleep(BUSY_PAUSE)


async def test_a_caller_without_chunks_gets_a_broken_stream_as_a_reset(
    platform: Platform,
) -> None:
    plans = itertools.product(Framing, (-1, FIRST_EVENTS + 5))
    for number, (framing, sent) in enumerate(plans):
        plan = AnswerPlan(framing, sent=sent, number=number)
        response, is_reset = await call_http_1_0(
            platform, f"/stream-fixed/{plan.path()}"
        )
        head, _, body = response.partition(b"\r\n\r\n")
        assert is_reset != plan.whole, (plan, response)
        if plan.whole:
            assert head.startswith(b"HTTP/1.0 200"), response
            assert body == WHOLE_STREAM


async def test_a_stream_of_a_killed_upstream_that_closes_between_events_is_broken(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    await platform.earn_retries(entry, "stream")
    plan = AnswerPlan(Framing.CONNECTION, Finish.CRASH, FIRST_EVENTS)
    resumed = await platform.call(entry, f"/stream/{plan.path()}")
    assert (resumed.status, resumed.body) == (200, WHOLE_STREAM)
    await wait_until(lambda: all_up(platform), "the server is back")
    await platform.wait_served(entry)
    fixed = await platform.call(entry, f"/stream-fixed/{plan.path()}")
    assert fixed.cut
    assert fixed.body == event(1) + event(2)


async def test_a_request_is_refused_after_three_victims_that_closed_without_an_event(
    platform: Platform,
) -> None:
    plan = AnswerPlan(Framing.CONNECTION, Finish.CRASH, 0)
    numbers = itertools.count()

    async def is_refused() -> bool:
        number = next(numbers)
        answer = await platform.call(
            platform.entry_ips[number % 2],
            f"/stream/{plan.path()}",
            request_id=f"deadly-{number}",
        )
        assert answer.status != 200
        return b"crashes_upstreams" in answer.body

    await wait_until(is_refused, "the request is refused as one that crashes upstreams")
    assert sum(len(server.crashes) for server in platform.servers) <= 3


async def test_a_plain_answer_of_a_killed_upstream_is_broken(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    plan = AnswerPlan(Framing.CONNECTION, Finish.CRASH, len(PLAIN_BODY) - 1)
    answer = await platform.call(entry, f"/once/{plan.path()}", request_id="lost")
    assert answer.status == 502
    lines = [one for one in platform.log(entry) if one.get("request") == "lost"]
    assert [one["upstream_gone"] for one in lines] == [True, True]


async def test_a_whole_answer_of_an_upstream_that_leaves_is_not_taken_for_broken(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    for server in platform.servers_of("plain"):
        server.announces_leaving = True
    plan = AnswerPlan(Framing.CONNECTION)
    answer = await platform.call(entry, f"/once/{plan.path()}")
    assert (answer.status, answer.body, answer.cut) == (200, PLAIN_BODY, False)


@pytest.mark.parametrize("notice", ["draining", "leave call"])
async def test_an_answer_cut_by_the_end_of_an_upstream_that_leaves_is_broken(
    platform: Platform, notice: str
) -> None:
    """An upstream on a box that is reclaimed is gone some seconds after its notice."""
    calls = await begin_held_streams(platform)
    servers = platform.servers_of("model")
    for server in servers:
        if notice == "draining":
            await server.drain()
        else:
            assert await server.deregister() == 200
    entry = platform.entry_ips[0]
    await wait_until(lambda: heard_leaving(platform, entry), "the leaving is heard")
    for server in servers:
        server.crash()
    answers = await asyncio.gather(*calls)
    assert [answer.cut for answer in answers] == [True] * CONCURRENT_CALLS


@pytest.mark.parametrize("successor", [False, True], ids=["port last", "port first"])
async def test_an_answer_cut_by_a_kill_is_broken_though_its_port_accepts_connections(
    platform: Platform, successor: bool
) -> None:
    """The kernel closes the sockets of a killed process one after another."""
    calls = await begin_held_streams(platform)
    for server in platform.servers_of("model"):
        if successor:
            await server.succeed()
        else:
            server.port_open_for = 0.06
            server.crash()
    answers = await asyncio.gather(*calls)
    assert [answer.cut for answer in answers] == [True] * CONCURRENT_CALLS


async def begin_held_streams(platform: Platform) -> list[asyncio.Task[Answer]]:
    """Call for streams that stop behind their first event, until all have begun."""
    plan = AnswerPlan(Framing.CONNECTION, Finish.HOLD, len(event(1)))
    paths = [
        f"/stream-fixed/{replace(plan, number=number).path()}"
        for number in range(CONCURRENT_CALLS)
    ]
    entry = platform.entry_ips[0]
    calls = [asyncio.create_task(platform.call(entry, path)) for path in paths]

    async def all_begun() -> bool:
        servers = platform.servers_of("model")
        return sum(len(server.runs) for server in servers) >= CONCURRENT_CALLS

    await wait_until(all_begun, "all streams have begun")
    return calls


async def heard_leaving(platform: Platform, entry: str) -> bool:
    """Return whether an entry has heard that all model servers leave."""
    lines = [one for one in platform.log(entry) if one["message"] == "upstreams leave"]
    heard = {instance for line in lines for instance in line["instances"]}
    return heard >= {server.instance for server in platform.servers_of("model")}


async def all_up(platform: Platform) -> bool:
    """Return whether all servers serve."""
    return all(server.is_up for server in platform.servers)
