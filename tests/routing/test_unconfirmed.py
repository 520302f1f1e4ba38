"""Upstreams that may have started again under their id."""

from __future__ import annotations

import pytest

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


@pytest.mark.parametrize(
    ("connected", "written", "same"),
    [
        (899, 1_001, True),
        # The process may have ended before the loss was noticed.
        (900, 1_001, False),
        (899, 1_000, False),
    ],
)
def test_an_answer_on_an_older_connection_shows_that_the_process_is_the_same(
    connected: int, written: int, same: bool
) -> None:
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 1_000, alive_at=900)
    assert unconfirmed.answered(OLD.incarnation, connected, written) is same
    assert unconfirmed.exclude([OLD], 1_002) == ([OLD] if same else [])


def test_a_connection_opened_between_two_losses_proves_nothing() -> None:
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 1_000, alive_at=900)
    unconfirmed.disconnected(OLD.incarnation, 2_000, alive_at=1_990)
    assert not unconfirmed.answered(OLD.incarnation, 1_500, 2_001)
    assert unconfirmed.answered(OLD.incarnation, 800, 2_001)


def test_a_doubt_that_no_answer_lifts_ends_in_time_while_other_connections_break() -> (
    None
):
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 0)
    for noticed in range(500, CONFIRM_TIME, 500):
        unconfirmed.disconnected(OLD.incarnation, noticed, alive_at=noticed - 10)
        unconfirmed.answered(OLD.incarnation, noticed - 100, noticed + 10)
        assert unconfirmed.exclude([OLD], noticed + 10) == []
    unconfirmed.answered(OLD.incarnation, CONFIRM_TIME - 100, CONFIRM_TIME + 1)
    assert unconfirmed.exclude([OLD], CONFIRM_TIME + 1) == [OLD]


def test_streams_begun_in_doubt_are_bound_once_the_start_would_have_been_known() -> (
    None
):
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 0)
    unconfirmed.disconnected(OLD.incarnation, CONFIRM_TIME - 10, alive_at=900)
    bound: list[str] = []
    since = CONFIRM_TIME + 10
    unconfirmed.when_confirmed(OLD.incarnation, lambda: bound.append("bound"), since)
    unconfirmed.answered(OLD.incarnation, 800, since + 1)
    assert bound == ["bound"]


def test_no_answer_lifts_the_doubt_about_an_upstream_that_refused_a_connection() -> (
    None
):
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 1_000)
    assert not unconfirmed.answered(OLD.incarnation, 0, 1_001)
    assert unconfirmed.exclude([OLD], 1_002) == []


def test_streams_begun_in_doubt_are_bound_once_the_process_proves_to_be_the_same() -> (
    None
):
    unconfirmed = UnconfirmedUpstreams()
    unconfirmed.disconnected(OLD.incarnation, 1_000, alive_at=900)
    bound: list[str] = []
    unconfirmed.when_confirmed(OLD.incarnation, lambda: bound.append("early"), 1_010)
    unconfirmed.when_confirmed(OLD.incarnation, lambda: bound.append("late"), 1_030)
    assert unconfirmed.answered(OLD.incarnation, 800, 1_020)
    assert bound == ["early"]
