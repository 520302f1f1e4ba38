"""How one request ends, between fakes of what it shares with others."""

from __future__ import annotations

from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

import msgspec
import pytest

from leadseam.control.routes import Repeat
from leadseam.outcome import Answered, Failed, NotRun, Outcome, Reason, Unknown
from leadseam.routing.admitted import AdmittedRequest
from leadseam.routing.attempt import Whole, Withheld
from leadseam.routing.exchange import Exchange
from leadseam.routing.reply import CallerGoneError
from leadseam.routing.restarts import Restarts
from tests.routing.samples import make_request, make_route, make_upstream

if TYPE_CHECKING:
    from leadseam.routing.attempt import Ending
    from leadseam.routing.flight import Flight

DEADLINE = 5_000


class Shared:
    """What an exchange shares with others, with one upstream or none.

    Args:
        placed: What the first look for an upstream finds.
    """

    def __init__(self, placed: Reason | None = None) -> None:
        self.placed = placed
        self.paused = 0
        self.endings: list[Ending] = []
        self.budget = SimpleNamespace(note_request=lambda *_: None)
        self.placer = SimpleNamespace(
            place=self._place, pause_left=lambda _: self.paused, may_send=lambda _: True
        )
        self.crash_guard = SimpleNamespace(
            refusal=lambda _: None,
            note_ending=self._note_ending,
        )
        self.restarts = Restarts()
        self.request_log = SimpleNamespace(attempt=lambda *_, **__: None)
        self.prepare = None
        self.uses_account_keys = False

    def now(self) -> int:
        return 1_000

    def note_ending(self, *_: object) -> None:
        return

    def _note_ending(self, _: object, __: object, ending: Ending, **_how: bool) -> None:
        self.endings.append(ending)

    async def _place(self, *_: object, **__: object) -> Reason | Flight:
        if self.placed is not None:
            return self.placed
        flight = SimpleNamespace(
            upstream=make_upstream(1),
            placement=None,
            expected=0,
            end=lambda: None,
            ended_early=lambda: True,
        )
        return cast("Flight", flight)


def make_exchange(shared: Shared, repeat: Repeat = Repeat.SAFE) -> Exchange:
    """Return an exchange of a request that may be repeated or not."""
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
    return Exchange(cast("Any", shared), cast("Any", http), admitted)


@pytest.mark.parametrize(
    ("repeat", "outcome"),
    [
        (Repeat.SAFE, Failed(Reason.NO_UPSTREAM)),
        (Repeat.ONCE, Unknown(Reason.NO_UPSTREAM)),
    ],
)
async def test_a_stream_that_is_cut_says_why(repeat: Repeat, outcome: Outcome) -> None:
    """Its line said `link_lost`, as if its caller had gone (a soak, seed 100)."""
    exchange = make_exchange(Shared(Reason.NO_UPSTREAM), repeat)
    exchange._reply._response = cast("Any", object())
    with pytest.raises(CallerGoneError):
        await exchange.run()
    assert exchange.outcome == outcome


async def test_a_caller_that_leaves_is_a_lost_link() -> None:
    exchange = make_exchange(Shared())

    async def attempt(_: object) -> Ending:
        raise CallerGoneError("closing")

    vars(exchange)["_attempt"] = attempt
    with pytest.raises(CallerGoneError):
        await exchange.run()
    assert exchange.outcome == Unknown(Reason.LINK_LOST)


async def test_what_has_no_upstream_has_not_run() -> None:
    shared = Shared(Reason.NO_UPSTREAM)
    shared.jitter = lambda pause: pause  # type: ignore[attr-defined]
    shared.error = lambda _: None  # type: ignore[attr-defined]
    exchange = make_exchange(shared)
    await exchange.run()
    assert exchange.outcome == NotRun(Reason.NO_UPSTREAM, 1_333)


async def test_where_all_upstreams_pause_callers_are_told_when_one_is_back() -> None:
    shared = Shared(Reason.UPSTREAMS_PAUSED)
    shared.paused = 2_750
    shared.jitter = lambda pause: pause // 2  # type: ignore[attr-defined]
    shared.error = lambda _: None  # type: ignore[attr-defined]
    exchange = make_exchange(shared)
    await exchange.run()
    # Spread over the half second after it, so that not all return at once.
    assert exchange.outcome == NotRun(Reason.UPSTREAMS_PAUSED, 3_000)


async def test_a_send_that_was_withheld_is_none() -> None:
    shared = Shared()
    exchange = make_exchange(shared)
    endings: list[Ending] = [Withheld(), Whole(200, (), b"x")]

    async def attempt(_: object) -> Ending:
        return endings.pop(0)

    vars(exchange)["_attempt"] = attempt
    await exchange.run()
    assert exchange.outcome == Answered(200)
    assert exchange.sends == 1


async def test_a_whole_answer_speaks_for_its_request_whatever_was_heard() -> None:
    """Its request was convicted while it ran; that it ran to its end was not told."""
    shared = Shared()
    exchange = make_exchange(shared)
    whole = Whole(200, (), b"x")

    async def attempt(_: object) -> Ending:
        exchange.end_attempt()
        return whole

    vars(exchange)["_attempt"] = attempt
    await exchange.run()
    assert shared.endings == [whole]
    assert exchange.outcome == Answered(200)
