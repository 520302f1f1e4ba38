"""`Registry`: a replica's table of upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from leadseam.membership.registry import MISSED_HEARTBEATS, Registry
from leadseam.platform.heartbeat import MAX_COLD_TIME, MAX_INTEGER, MAX_START
from tests.routing.samples import make_upstream

if TYPE_CHECKING:
    from leadseam.wire.feed import Registration

INTERVAL = 1_000


def test_only_changes_are_reported() -> None:
    registry = Registry(INTERVAL)
    row = make_upstream(1)
    assert registry.heartbeat(row, 0)
    assert not registry.heartbeat(msgspec.structs.replace(row, sequence=2), 1)
    assert registry.heartbeat(msgspec.structs.replace(row, sequence=3, slots=9), 2)


def test_an_older_heartbeat_never_counts() -> None:
    registry = Registry(INTERVAL)
    newest = make_upstream(1, sequence=5)
    registry.heartbeat(newest, 0)
    assert not registry.heartbeat(make_upstream(1, sequence=4), 1)
    assert not registry.heartbeat(newest, 2)
    assert registry.rows() == (newest,)


def test_silence_drops_an_upstream_and_a_heartbeat_adds_it_again() -> None:
    registry = Registry(INTERVAL)
    registry.heartbeat(make_upstream(1), 0)
    limit = INTERVAL * MISSED_HEARTBEATS
    assert registry.expire(limit) == ()
    assert registry.expire(limit + 1) == (make_upstream(1).incarnation,)
    assert registry.heartbeat(make_upstream(1, sequence=2), limit + 2)


@pytest.mark.parametrize(
    "spoilt",
    [
        make_upstream(1, start=MAX_START, sequence=1),
        make_upstream(1, start=5, sequence=MAX_INTEGER),
        make_upstream(1, start=MAX_START, sequence=MAX_INTEGER),
    ],
)
def test_a_heartbeat_far_ahead_counts_until_heartbeats_would_be_overdue(
    spoilt: Registration,
) -> None:
    """Nothing tells it from a sound one, so the next ones look as if they were late."""
    registry = Registry(INTERVAL)
    registry.heartbeat(spoilt, 0)
    for second in range(1, MISSED_HEARTBEATS + 1):
        sound = make_upstream(1, start=5, sequence=second + 1)
        assert not registry.heartbeat(sound, second * INTERVAL)
        assert registry.expire(second * INTERVAL) == ()
    assert registry.rows() == (spoilt,)
    end = MISSED_HEARTBEATS * INTERVAL + 1
    assert registry.expire(end) == (spoilt.incarnation,)
    sound = make_upstream(1, start=5, sequence=MISSED_HEARTBEATS + 2)
    assert registry.heartbeat(sound, end)
    assert registry.rows() == (sound,)


def test_a_cold_time_of_a_day_ends_with_the_next_heartbeat() -> None:
    registry = Registry(INTERVAL)
    row = make_upstream(1)
    cold = msgspec.structs.replace(row, sequence=2, cold_remaining=MAX_COLD_TIME)
    warm = msgspec.structs.replace(row, sequence=3)
    assert registry.heartbeat(row, 0)
    assert registry.heartbeat(cold, 1)
    assert registry.heartbeat(warm, 2)


def test_a_sequence_that_begins_again_counts_with_a_later_start_only() -> None:
    registry = Registry(INTERVAL)
    registry.heartbeat(make_upstream(1, start=5, sequence=9), 0)
    assert not registry.heartbeat(make_upstream(1, start=5, sequence=0), 1)
    assert not registry.heartbeat(make_upstream(1, start=4, sequence=10), 2)
    assert not registry.heartbeat(make_upstream(1, sequence=10), 3)
    assert registry.heartbeat(make_upstream(1, start=6, sequence=0), 4)


def test_time_in_which_a_box_was_stopped_is_not_silence() -> None:
    registry = Registry(INTERVAL)
    registry.heartbeat(make_upstream(1), 0)
    limit = INTERVAL * MISSED_HEARTBEATS
    assert registry.expire(500) == ()
    # The box was stopped for 20 s, of which one second counts as silence.
    assert registry.expire(20_500) == ()
    for now in range(21_000, 20_500 + limit - 1_500 + 1, 500):
        assert registry.expire(now) == ()
    lost = registry.expire(20_500 + limit)
    assert lost == (make_upstream(1).incarnation,)
