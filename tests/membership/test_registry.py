"""`Registry`: a replica's table of upstreams."""

from __future__ import annotations

import msgspec

from leadseam.membership.registry import MISSED_HEARTBEATS, Registry
from tests.routing.samples import make_upstream

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
