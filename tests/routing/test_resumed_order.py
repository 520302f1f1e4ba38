"""Waiting streams that callers resume, beside new ones, at overloaded engines."""

from __future__ import annotations

import random
from collections import Counter

import msgspec
import pytest

from leadseam.control.routes import EngineProfile
from leadseam.routing.admission import Admission, Waiter
from leadseam.routing.balance import Balancer
from leadseam.routing.scope import Scope
from leadseam.routing.usage import Standing
from tests.routing.samples import make_request, make_upstream

PROFILE = EngineProfile(slots=4, memory_tokens=1_000_000)
OBJECTIVE = 400
ENGINES = [
    msgspec.structs.replace(make_upstream(number), version=version)
    for number, version in enumerate(["v1", "v1", "v2", "v2", "v2", "v2"], 1)
]
STEP = 10
SPAN = 30_000
RUN_TIME = 400
"""Mean milliseconds for which an engine runs a stream."""
NEW_EVERY = 7
"""Mean milliseconds between new streams: two and a half times what engines can run."""
RESUMED_EVERY = 60
"""Mean milliseconds between resumed ones: a third of what two engines can run."""


SERVICE = {"a": 200, "b": 100}
"""Recent service of accounts; others have none."""


def play(standing: Standing, resumed_account: str = "a") -> dict[str, float]:
    """Return the shares of new and of resumed streams that are placed."""
    rng = random.Random(7)
    balancer = Balancer(rng)
    admission = Admission(
        balancer=balancer,
        candidates=lambda scope: [
            row for row in ENGINES if scope.version in (None, row.version)
        ],
        standing=lambda account, _: (
            standing if account == "resuming" else Standing.WITHIN
        ),
        recent_service=lambda account, _: SERVICE.get(account, 0),
    )
    entered: Counter[str] = Counter()
    placed: Counter[str] = Counter()
    ends: list[tuple[int, Waiter]] = []
    waiting: list[tuple[str, Waiter]] = []
    for now in range(0, SPAN, STEP):
        for waiter in [one for end, one in ends if end <= now]:
            assert waiter.placement is not None
            placement = waiter.placement
            balancer.loads.end(placement.upstream.incarnation, placement.load)
        ends = [one for one in ends if one[0] > now]
        admission.pump(now)
        for kind, every in (("new", NEW_EVERY), ("resumed", RESUMED_EVERY)):
            for _ in range(round(rng.expovariate(every / STEP))):
                resumed = kind == "resumed"
                entered[kind] += 1
                waiter = Waiter(
                    req=make_request(request_id=f"r-{entered.total()}"),
                    account=resumed_account if resumed else rng.choice("abc"),
                    scope=Scope("p", version="v1" if resumed else None),
                    profile=PROFILE,
                    objective=OBJECTIVE,
                    arrived=now,
                    tried=set(),
                    wake=lambda: None,
                    retried=resumed,
                )
                admission.enter(waiter, now)
                waiting.append((kind, waiter))
        for kind, waiter in waiting:
            if waiter.placement is not None:
                placed[kind] += 1
                ends.append(
                    (now + rng.randint(RUN_TIME // 2, 3 * RUN_TIME // 2), waiter)
                )
        waiting = [one for one in waiting if not one[1].done]
    return {kind: placed[kind] / entered[kind] for kind in entered}


@pytest.mark.parametrize("account", ["a", "b", "c"])
def test_resumed_streams_go_on_as_often_as_new_ones_begin(account: str) -> None:
    """A new stream may use six engines here, a resumed one only two of them."""
    shares = play(Standing.WITHIN, account)
    assert shares["new"] < 0.6
    assert shares["resumed"] >= shares["new"]


@pytest.mark.parametrize("standing", [Standing.AHEAD, Standing.STOPPED])
def test_an_account_beyond_its_share_gains_nothing_by_resuming(
    standing: Standing,
) -> None:
    shares = play(standing, "resuming")
    assert shares["resumed"] <= shares["new"]
