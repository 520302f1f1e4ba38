"""Room to spare: who gets it, and that nobody who is short loses by it.

On a day of floods nine in ten refusals were of accounts beyond their share while 20
engines of 64 places read a fifth of what they can: an account whose callers use one
busy entry was short, and all others were held back for it.
"""

from __future__ import annotations

import pytest

from leadseam.routing.engine_order import MAX_LOOKED, ranked_for
from leadseam.routing.load import Load
from leadseam.routing.scope import Scope
from leadseam.routing.spare_capacity import KEPT, SpareRoom, has_spare_room
from leadseam.routing.usage import Standing
from tests.routing.samples import make_request, make_upstream
from tests.routing.test_admission import Room

IDLE = (64, Load())
READING = (64, Load(requests=1, unread=900))
HALF_FULL = (64, Load(requests=32))
FULL = (64, Load(requests=64))


@pytest.mark.parametrize(
    ("engines", "spare"),
    [
        ([IDLE, IDLE], True),
        ([IDLE, IDLE, READING], True),
        ([IDLE, READING], False),
        ([HALF_FULL, HALF_FULL], False),
        ([FULL, IDLE, IDLE], True),
        ([FULL, IDLE], False),
        ([], False),
    ],
)
def test_room_is_spare_below_half_of_places_and_of_reading(
    engines: list[tuple[int, Load]], spare: bool
) -> None:
    assert has_spare_room(engines) is spare


def test_a_large_pool_is_looked_at_now_and_then() -> None:
    looks: list[int] = []

    def total(_: object, now: int) -> Load:
        looks.append(now)
        return Load()

    rows = [make_upstream(number) for number in range(MAX_LOOKED + 1)]
    room = SpareRoom(lambda _: rows, total)
    for now in (0, 1, KEPT - 1, KEPT, KEPT + 1):
        assert room.there_is(Scope("p"), now)
    assert len(looks) == 2 * len(rows)
    assert room.there_is(Scope("q"), KEPT + 1)
    assert len(looks) == 3 * len(rows)


def test_a_small_pool_is_looked_at_each_time() -> None:
    load = Load()
    room = SpareRoom(lambda _: [make_upstream(1)], lambda _row, _now: load)
    assert room.there_is(Scope("p"), 0)
    load = Load(requests=1, unread=5)
    assert not room.there_is(Scope("p"), 0)


def test_who_is_ahead_may_stand_behind_reading_while_others_are_idle() -> None:
    # Three engines, one of which reads what this prompt's parts are held by.
    room = Room(standings={"a": Standing.AHEAD, "s": Standing.STOPPED})
    rows = [make_upstream(number) for number in (1, 2, 3)]
    room.admission.candidates = lambda _: rows
    room.admission.__post_init__()
    home = ranked_for(rows, make_request("system", "own"))[0]
    room.balancer.loads.begin(home.incarnation, Load(requests=1, unread=2_000))
    placed = room.enter("a").placement
    assert placed is not None
    assert placed.upstream is home
    assert room.enter("s").placement is None
