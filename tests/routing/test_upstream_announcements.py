"""Entries send no request that an upstream's announcements rule out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.emulate.virtual import VirtualLoop
from leadseam.outcome import Answered, NotRun, Reason
from tests.routing.gateways import (
    GatewayFleet,
    RefusalPeriod,
    SimulatedUpstream,
    simulated_upstreams,
)
from tests.routing.samples import make_upstream

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

SPAN = 5.0
"""Seconds for which requests are made."""


def play(
    make: Callable[[], GatewayFleet],
    run: Callable[[GatewayFleet], Coroutine[Any, Any, None]],
) -> GatewayFleet:
    """Create a fleet in a virtual loop, run a scenario with it, and return it."""

    async def both() -> GatewayFleet:
        fleet = make()
        await run(fleet)
        return fleet

    loop = VirtualLoop()
    try:
        return loop.run_until_complete(both())
    finally:
        loop.close()


async def call_on(fleet: GatewayFleet) -> None:
    """Make 40 requests a second for `SPAN` seconds."""
    await fleet.keep_calling(every=2 / 40, span=SPAN)


periods = st.builds(
    lambda begin, length, pause: RefusalPeriod(begin, begin + length, pause),
    st.floats(0.1, SPAN),
    st.floats(0.1, 4),
    st.floats(0.3, 3),
)
upstreams = st.lists(
    st.builds(
        lambda periods, leaves: (tuple(periods), leaves),
        st.lists(periods, max_size=3),
        st.sampled_from([float("inf")] * 4 + [1.0, 3.0]),
    ),
    min_size=1,
    max_size=5,
)


@given(
    drawn=upstreams,
    entries=st.integers(1, 3),
    engines=st.booleans(),
    seed=st.integers(0, 2**32),
    connect_s=st.sampled_from([0.002, 0.02, 0.45]),
)
@settings(max_examples=30)
def test_nothing_is_written_against_a_word_that_was_heard(
    drawn: list[tuple[tuple[RefusalPeriod, ...], float]],
    entries: int,
    engines: bool,
    seed: int,
    connect_s: float,
) -> None:
    made = [
        SimulatedUpstream(make_upstream(number), periods, leaves)
        for number, (periods, leaves) in enumerate(drawn, start=1)
    ]
    fleet = play(
        lambda: GatewayFleet(
            made, entries=entries, engines=engines, seed=seed, connect_s=connect_s
        ),
        call_on,
    )
    for upstream in fleet.upstreams.values():
        assert upstream.ignored_announcements() == []


def test_callers_do_not_notice_that_two_of_five_engines_pause() -> None:
    period = RefusalPeriod(1.0, 6.0, 3.0)
    made = [
        SimulatedUpstream(make_upstream(number), (period,) if number < 3 else ())
        for number in range(1, 6)
    ]
    fleet = play(lambda: GatewayFleet(made), call_on)
    refused = [one for one in fleet.outcomes if not isinstance(one, Answered)]
    assert refused == []
    # Each entry is refused once per pause of 3 s and engine.
    turned_away = sum(len(upstream.announcements) for upstream in made)
    assert turned_away <= 2 * 2 * 2


def test_a_request_that_waits_for_a_connection_moves_if_its_engine_pauses() -> None:
    made = simulated_upstreams(3, periods=(RefusalPeriod(1.0, 2.0, 3.0),))

    async def call_now_and_then(fleet: GatewayFleet) -> None:
        await fleet.keep_calling(every=0.05, span=SPAN)

    fleet = play(
        lambda: GatewayFleet(made, entries=1, connect_s=0.45), call_now_and_then
    )
    assert made[0].announcements
    assert made[0].ignored_announcements() == []
    assert all(isinstance(one, Answered) for one in fleet.outcomes)


def test_if_all_engines_pause_callers_are_refused_at_once_with_a_retry_pause() -> None:
    period = RefusalPeriod(0.0, 100.0, 2.0)
    made = simulated_upstreams(2, periods=(period,))
    made[1].periods = (RefusalPeriod(0.0, 100.0, 3.0),)

    async def call_some(fleet: GatewayFleet) -> None:
        # The first request is refused by both upstreams, and the entry pauses them.
        await fleet.call(0)
        fleet.took.clear()
        fleet.outcomes.clear()
        for _ in range(20):
            await fleet.call(0)

    fleet = play(lambda: GatewayFleet(made, entries=1), call_some)
    assert set(fleet.took) == {0.0}
    for outcome in fleet.outcomes:
        assert isinstance(outcome, NotRun)
        assert outcome.reason is Reason.UPSTREAMS_PAUSED
        assert outcome.retry_after is not None
        # The first pause ends after 2 s to 2.2 s; retries spread over 0.5 s after it.
        assert 1_990 <= outcome.retry_after <= 2_700


def test_waiting_requests_are_refused_once_all_engines_pause() -> None:
    made = simulated_upstreams(1, periods=(RefusalPeriod(0.0, 100.0, 2.0),))

    async def call_many(fleet: GatewayFleet) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(12):
                group.create_task(fleet.call(0))

    fleet = play(lambda: GatewayFleet(made, entries=1), call_many)
    # Four take the slots and are refused; the other eight do not wait for 340 ms.
    assert max(fleet.took) < 0.05
    assert len(made[0].arrivals) == 4


def test_a_leaving_upstream_gets_no_new_requests_and_callers_do_not_notice() -> None:
    made = simulated_upstreams(3, leaves_at=1.0)
    fleet = play(lambda: GatewayFleet(made), call_on)
    assert max(one.at for one in made[0].arrivals) < 1.5
    assert {announcement.entry for announcement in made[0].announcements} == {0, 1}
    assert all(isinstance(one, Answered) for one in fleet.outcomes)


def test_load_grows_slowly_after_the_end_of_a_pause() -> None:
    made = simulated_upstreams(2, periods=(RefusalPeriod(1.0, 2.0, 2.0),))
    for one in made:
        one.row = msgspec.structs.replace(one.row, slots=64)

    async def call_often(fleet: GatewayFleet) -> None:
        await fleet.keep_calling(every=0.005, span=SPAN)

    fleet = play(lambda: GatewayFleet(made, entries=1, engines=False), call_often)
    announcement = made[0].announcements[-1]
    after = [one.at for one in made[0].arrivals if one.at >= announcement.until]
    # The second request is not sent before the first is answered.
    assert after[1] - after[0] >= 0.05
    assert len(after) > 10
    assert all(isinstance(one, Answered) for one in fleet.outcomes)
