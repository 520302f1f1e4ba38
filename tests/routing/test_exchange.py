"""Outcomes of single exchanges, with a fake of the gateway."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest

from leadseam.control.routes import Repeat
from leadseam.crashes.evidence import AnswerProgress
from leadseam.entry.error_responses import error_response
from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.attempt import (
    Broken,
    Declined,
    Unreachable,
    Whole,
    Withheld,
)
from leadseam.routing.dialect import AnswerHead
from leadseam.routing.exchange import Exchange
from leadseam.routing.load import Load
from leadseam.routing.placement import Placement
from leadseam.routing.reply import CallerGoneError
from leadseam.routing.restarts import Restarts
from leadseam.routing.retry_denial import RetryDenial
from tests.routing.samples import make_request, make_route, make_upstream

if TYPE_CHECKING:
    from leadseam.routing.attempt import Ending
    from leadseam.routing.flight import Flight
    from leadseam.wire.feed import Registration

DEADLINE = 5_000


class FakeGateway:
    """A fake of the gateway with one upstream or none.

    Args:
        placed: Reason why no upstream is found, or None if there is one.
    """

    def __init__(self, placed: Reason | None = None) -> None:
        self.placed = placed
        self.paused = 0
        self.endings: list[Ending] = []
        self.budget = SimpleNamespace(note_request=lambda *_: None)
        self.placer = SimpleNamespace(
            place=self._place,
            pause_left=lambda _: self.paused,
            may_send=lambda _: True,
            has_other=lambda *_: True,
        )
        self.crash_guard = SimpleNamespace(
            refusal=lambda _, again=False: None,
            note_ending=self._note_ending,
        )
        self.restarts = Restarts()
        self.request_log = SimpleNamespace(
            attempt=lambda *_, **__: None, count_fetch=lambda _: None
        )
        self.source: Registration | None = None
        self.fetching: list[bool] = []
        self.set_keep_alive = None
        self.uses_account_keys = False

    def now(self) -> int:
        return 1_000

    def note_ending(self, *_: object, **__: object) -> None:
        return

    def _note_ending(self, _: object, __: object, ending: Ending, **_how: bool) -> None:
        self.endings.append(ending)

    def take_retry(self, _: str) -> bool:
        return True

    def return_retry(self, *_: object) -> None:
        return

    async def _place(
        self, *_: object, fetching: bool = True, **__: object
    ) -> Reason | Flight:
        self.fetching.append(fetching)
        if self.placed is not None:
            return self.placed
        flight = SimpleNamespace(
            upstream=make_upstream(1),
            placement=Placement(
                make_upstream(1), Load(requests=1), 0, source=self.source
            ),
            expected_first_token=0,
            end=lambda: None,
            ended_early=lambda: True,
            progress=AnswerProgress.NONE,
        )
        return cast("Flight", flight)


def make_exchange(gateway: FakeGateway, repeat: Repeat = Repeat.SAFE) -> Exchange:
    """Return an exchange of a request on a route with the given repeat rule."""
    route = msgspec.structs.replace(make_route("r", "/chat/", "p"), repeat=repeat)
    admitted = AdmittedRequest(
        req=make_request(),
        body=b"{}",
        route=route,
        pool="p",
        account="bank",
        arrived=0,
        deadline=DEADLINE,
    )
    http = SimpleNamespace(transport=None)
    return Exchange(cast("Any", gateway), cast("Any", http), admitted)


@pytest.mark.parametrize(
    ("repeat", "outcome"),
    [
        (Repeat.SAFE, Failed(Reason.NO_UPSTREAM)),
        (Repeat.ONCE, Unknown(Reason.NO_UPSTREAM)),
    ],
)
async def test_an_aborted_stream_has_the_reason_as_outcome(
    repeat: Repeat, outcome: Outcome
) -> None:
    """The log line had `link_lost`, as if the caller had left (a soak, seed 100)."""
    exchange = make_exchange(FakeGateway(Reason.NO_UPSTREAM), repeat)
    exchange._reply._response = cast("Any", object())
    with pytest.raises(CallerGoneError):
        await exchange.run()
    assert exchange.outcome == outcome


async def test_a_deadline_that_expires_as_the_box_resumes_ends_no_process() -> None:
    gateway = FakeGateway()
    vars(gateway)["error"] = lambda outcome: outcome
    exchange = make_exchange(gateway)
    exchange._request = replace(exchange.admitted, deadline=gateway.now() + 1)

    async def attempt(_: object) -> Ending:
        try:
            return await asyncio.Future()
        finally:
            # The timer has expired, and the request is being cancelled.
            exchange.reset_deadline_timer()

    vars(exchange)["_attempt"] = attempt
    assert cast("Any", await exchange.run()) == Unknown(Reason.DEADLINE_PASSED)


async def test_a_caller_that_leaves_gives_the_outcome_link_lost() -> None:
    exchange = make_exchange(FakeGateway())

    async def attempt(_: object) -> Ending:
        raise CallerGoneError("closing")

    vars(exchange)["_attempt"] = attempt
    with pytest.raises(CallerGoneError):
        await exchange.run()
    assert exchange.outcome == Unknown(Reason.LINK_LOST)


async def test_a_request_without_an_upstream_has_not_run() -> None:
    gateway = FakeGateway(Reason.NO_UPSTREAM)
    gateway.jitter = lambda pause: pause  # type: ignore[attr-defined]
    gateway.error = lambda _: None  # type: ignore[attr-defined]
    exchange = make_exchange(gateway)
    await exchange.run()
    assert exchange.outcome == NotRun(Reason.NO_UPSTREAM, 1_333)


async def test_if_all_upstreams_pause_callers_retry_after_the_first_pause() -> None:
    gateway = FakeGateway(Reason.UPSTREAMS_PAUSED)
    gateway.paused = 2_750
    gateway.jitter = lambda pause: pause // 2  # type: ignore[attr-defined]
    gateway.error = lambda _: None  # type: ignore[attr-defined]
    exchange = make_exchange(gateway)
    await exchange.run()
    # Spread over the half second after the pause, so that not all retry at once.
    assert exchange.outcome == NotRun(Reason.UPSTREAMS_PAUSED, 3_000)


async def test_a_withheld_send_is_not_counted() -> None:
    gateway = FakeGateway()
    exchange = make_exchange(gateway)
    endings: list[Ending] = [Withheld(), Whole(200, (), b"x")]

    async def attempt(_: object) -> Ending:
        return endings.pop(0)

    vars(exchange)["_attempt"] = attempt
    await exchange.run()
    assert exchange.outcome == Answered(200)
    assert exchange.sends == 1


@pytest.mark.parametrize("fetches", [True, False])
async def test_a_retry_names_no_source_if_a_fetch_broke_off(fetches: bool) -> None:
    """The fetch may be why the attempt broke off, and would break off again."""
    gateway = FakeGateway()
    gateway.source = make_upstream(2) if fetches else None
    exchange = make_exchange(gateway)
    endings: list[Ending] = [
        Unreachable(),
        Broken(Reason.UPSTREAM_SILENT),
        Whole(200, (), b"x"),
    ]
    sources: list[Registration | None] = []

    async def attempt(placement: Placement) -> Ending:
        sources.append(placement.source)
        return endings.pop(0)

    vars(exchange)["_attempt"] = attempt
    await exchange.run()
    assert exchange.outcome == Answered(200)
    assert sources == [gateway.source] * 3
    assert gateway.fetching == [True, True, not fetches]


@pytest.mark.parametrize(
    ("last", "placed"),
    [(Declined(), None), (Withheld(), None), (Declined(), Reason.NO_UPSTREAM)],
)
async def test_a_request_that_may_have_run_is_not_answered_as_one_that_has_not(
    last: Ending, placed: Reason | None
) -> None:
    gateway = FakeGateway()
    vars(gateway)["error"] = error_response
    exchange = make_exchange(gateway)
    endings: list[Ending] = [Broken(Reason.UPSTREAM_BROKEN), last]
    denials = [None, None if placed is not None else RetryDenial.BUDGET]

    async def attempt(_: object) -> Ending:
        if len(endings) == 1:
            gateway.placed = placed
        return endings.pop(0)

    vars(exchange)["_attempt"] = attempt
    vars(exchange)["_retry_denial"] = lambda _: denials.pop(0)
    response = await exchange.run()
    assert response.status == 502
    assert exchange.outcome == Failed(Reason.UPSTREAM_BROKEN)


@pytest.mark.parametrize("last", [None, Declined(), Broken(Reason.UPSTREAM_BROKEN)])
async def test_an_error_of_an_upstream_is_delivered_if_its_retry_has_no_answer(
    last: Ending | None,
) -> None:
    gateway = FakeGateway()
    exchange = make_exchange(gateway)
    endings: list[Ending] = [Whole(500, (), b"error")]
    endings += [last] if last is not None else []
    denials = [None, RetryDenial.BUDGET]

    async def attempt(_: object) -> Ending:
        if last is None:
            gateway.placed = Reason.NO_UPSTREAM
        return endings.pop(0)

    vars(exchange)["_attempt"] = attempt
    vars(exchange)["_retry_denial"] = lambda _: denials.pop(0)
    response = await exchange.run()
    assert response.status == 500
    assert exchange.outcome == Answered(500)


async def test_a_whole_answer_is_noted_even_if_its_request_was_convicted() -> None:
    """A whole answer was not noted if the request was convicted while it ran."""
    gateway = FakeGateway()
    exchange = make_exchange(gateway)
    whole = Whole(200, (), b"x")

    async def attempt(_: object) -> Ending:
        exchange.end_attempt()
        return whole

    vars(exchange)["_attempt"] = attempt
    await exchange.run()
    assert gateway.endings == [whole]
    assert exchange.outcome == Answered(200)


@pytest.mark.parametrize(
    ("ending", "change", "denial"),
    [
        (Broken(Reason.UPSTREAM_BROKEN), {}, None),
        (Whole(500, (), b"error"), {}, None),
        (Whole(200, (), b"x"), {}, RetryDenial.ANSWERED),
        (Broken(Reason.UPSTREAM_BROKEN), {"runs": 9}, RetryDenial.RUNS),
        (Declined(), {"runs": 9}, None),
        (Declined(), {"sends": 9}, RetryDenial.ATTEMPTS),
        (Declined(), {"now": DEADLINE}, RetryDenial.TIME),
        (Declined(), {"crashes": True}, RetryDenial.CRASHES),
        (Declined(), {"budget": False}, RetryDenial.BUDGET),
        (Withheld(), {"budget": False}, None),
    ],
)
async def test_an_attempt_that_is_the_last_has_a_reason(
    ending: Ending, change: dict[str, int], denial: RetryDenial | None
) -> None:
    gateway = FakeGateway()
    exchange = make_exchange(gateway)
    exchange._progress.runs = change.get("runs", 1)
    exchange._progress.sends = change.get("sends", 1)
    vars(gateway)["now"] = lambda: change.get("now", 1_000)
    vars(gateway)["take_retry"] = lambda _: change.get("budget", True)
    if "crashes" in change:
        gateway.crash_guard.refusal = lambda _, again=False: Reason.CRASHES_UPSTREAMS
    assert exchange._retry_denial(ending) is denial


@pytest.mark.parametrize(("request_id", "believed"), [("r-1", True), ("r-2", False)])
async def test_a_pause_in_the_answer_to_another_request_is_not_believed(
    request_id: str, believed: bool
) -> None:
    gateway = FakeGateway()
    noted: list[object] = []
    vars(gateway)["note_head"] = lambda *args: noted.append(args)
    exchange = make_exchange(gateway)
    exchange._request = replace(exchange._request, req=make_request(request_id="r-1"))
    head = AnswerHead(request_id, not_run=True, signed=True, event_stream=False)
    exchange._note_head(make_upstream(1), 429, replace(head, pause=5_000))
    assert bool(noted) is believed
