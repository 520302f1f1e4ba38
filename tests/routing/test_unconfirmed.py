"""Upstreams that may have started again under their id."""

from __future__ import annotations

from leadseam.routing.unconfirmed import CONFIRM_TIME, UnconfirmedUpstreams
from tests.routing.samples import make_upstream

OLD = make_upstream(1, start=1_000)
OTHER = make_upstream(2, start=1_000)


def test_an_upstream_whose_connection_broke_continues_no_stream() -> None:
    unconfirmed = UnconfirmedUpstreams()
    assert unconfirmed.exclude([OLD, OTHER], 0) == [OLD, OTHER]
    unconfirmed.disconnected(OLD.incarnation, 0)
    assert unconfirmed.exclude([OLD, OTHER], CONFIRM_TIME - 1) == [OTHER]
    assert unconfirmed.exclude([OLD, OTHER], CONFIRM_TIME) == [OLD, OTHER]


def test_a_start_that_is_known_is_used_at_once() -> None:
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 0)
    new = make_upstream(1, start=2_000)
    assert unconfirmed.exclude([new], 1) == [new]


def test_an_upstream_whose_id_changes_at_each_start_stays_usable() -> None:
    unconfirmed = UnconfirmedUpstreams()
    row = make_upstream(3)
    unconfirmed.disconnected(row.incarnation, 0)
    assert unconfirmed.exclude([row], 1) == [row]
