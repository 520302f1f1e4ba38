"""No send of an entry goes against what an upstream has said of itself."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.emulate.virtual import VirtualLoop
from leadseam.outcome import Answered, NotRun, Reason
from tests.routing.gateways import GatewayFleet, Modelled, Spell, modelled
from tests.routing.samples import make_upstream

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

SPAN = 5.0
"""Seconds played."""


def play(
    make: Callable[[], GatewayFleet],
    run: Callable[[GatewayFleet], Coroutine[Any, Any, None]],
) -> GatewayFleet:
    """Make a fleet in a virtual loop, run something with it, and return it."""

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
    """Make 40 requests a second for some seconds."""
    await fleet.keep_calling(every=2 / 40, span=SPAN)


spells = st.builds(
    lambda begin, length, rest: Spell(begin, begin + length, rest),
    st.floats(0.1, SPAN),
    st.floats(0.1, 4),
    st.floats(0.3, 3),
)
upstreams = st.lists(
    st.builds(
        lambda spells, leaves: (tuple(spells), leaves),
        st.lists(spells, max_size=3),
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
    drawn: list[tuple[tuple[Spell, ...], float]],
    entries: int,
    engines: bool,
    seed: int,
    connect_s: float,
) -> None:
    made = [
        Modelled(make_upstream(number), spells, leaves)
        for number, (spells, leaves) in enumerate(drawn, start=1)
    ]
    fleet = play(
        lambda: GatewayFleet(
            made, entries=entries, engines=engines, seed=seed, connect_s=connect_s
        ),
        call_on,
    )
    for upstream in fleet.upstreams.values():
        assert upstream.broken_words() == []


def test_callers_do_not_notice_that_two_of_five_engines_rest() -> None:
    spell = Spell(1.0, 6.0, 3.0)
    made = [
        Modelled(make_upstream(number), (spell,) if number < 3 else ())
        for number in range(1, 6)
    ]
    fleet = play(lambda: GatewayFleet(made), call_on)
    refused = [one for one in fleet.outcomes if not isinstance(one, Answered)]
    assert refused == []
    # Each entry learns it once for each rest of 3 s, of each engine.
    turned_away = sum(len(upstream.words) for upstream in made)
    assert turned_away <= 2 * 2 * 2


def test_what_waits_for_a_connection_goes_elsewhere_once_its_engine_rests() -> None:
    made = modelled(3, spells=(Spell(1.0, 2.0, 3.0),))

    async def call_now_and_then(fleet: GatewayFleet) -> None:
        await fleet.keep_calling(every=0.05, span=SPAN)

    fleet = play(
        lambda: GatewayFleet(made, entries=1, connect_s=0.45), call_now_and_then
    )
    assert made[0].words
    assert made[0].broken_words() == []
    assert all(isinstance(one, Answered) for one in fleet.outcomes)


def test_where_all_rest_callers_are_refused_at_once_and_told_when_to_return() -> None:
    spell = Spell(0.0, 100.0, 2.0)
    made = modelled(2, spells=(spell,))
    made[1].spells = (Spell(0.0, 100.0, 3.0),)

    async def call_some(fleet: GatewayFleet) -> None:
        # The first two requests learn of the rests.
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
        # The first is back after 2 s to 2.2 s; callers return in the half second after.
        assert 1_990 <= outcome.retry_after <= 2_700


def test_what_waits_for_an_engine_is_refused_once_all_rest() -> None:
    made = modelled(1, spells=(Spell(0.0, 100.0, 2.0),))

    async def call_many(fleet: GatewayFleet) -> None:
        async with asyncio.TaskGroup() as group:
            for _ in range(12):
                group.create_task(fleet.call(0))

    fleet = play(lambda: GatewayFleet(made, entries=1), call_many)
    # Four take the slots and hear of it; the other eight do not wait for 340 ms.
    assert max(fleet.took) < 0.05
    assert len(made[0].arrivals) == 4


def test_one_that_leaves_gets_nothing_new_and_callers_do_not_notice() -> None:
    made = modelled(3, leaves_at=1.0)
    fleet = play(lambda: GatewayFleet(made), call_on)
    assert max(one.at for one in made[0].arrivals) < 1.5
    assert {word.entry for word in made[0].words} == {0, 1}
    assert all(isinstance(one, Answered) for one in fleet.outcomes)


def test_the_end_of_a_rest_is_no_step_of_load() -> None:
    made = modelled(2, spells=(Spell(1.0, 2.0, 2.0),))
    for one in made:
        one.row = msgspec.structs.replace(one.row, slots=64)

    async def call_often(fleet: GatewayFleet) -> None:
        await fleet.keep_calling(every=0.005, span=SPAN)

    fleet = play(lambda: GatewayFleet(made, entries=1, engines=False), call_often)
    word = made[0].words[-1]
    after = [one.at for one in made[0].arrivals if one.at >= word.until]
    # One request, and no other before the first is answered.
    assert after[1] - after[0] >= 0.05
    assert len(after) > 10
    assert all(isinstance(one, Answered) for one in fleet.outcomes)
