"""Health of the group as reported by a replica, from the state of its Raft core."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.control.group_health import (
    ANSWER_TIMEOUT,
    CHECK_INTERVAL,
    REPEAT_INTERVAL,
    GroupHealth,
    HealthReporter,
    MissingVoter,
)
from leadseam.runtime.metrics import ControlMetrics, Metrics
from tests.control.cluster import BOXES, elected

if TYPE_CHECKING:
    import pytest


def test_a_leader_reports_a_missing_voter_and_its_silence() -> None:
    cluster = elected()
    leader = cluster.leader()
    assert leader is not None
    assert leader.health(cluster.now) == GroupHealth(True, 3, ())
    lost = next(name for name in BOXES if f"{name}#first" != leader.identity)
    cluster.boxes[lost].raft = None
    cluster.settle(2 * ANSWER_TIMEOUT // 50)

    health = leader.health(cluster.now)
    assert health is not None
    assert [one.name for one in health.missing] == [f"{lost}#first"]
    assert ANSWER_TIMEOUT < health.missing[0].silent_ms <= 2 * ANSWER_TIMEOUT + 200
    assert (health.needed, health.answering, health.spare) == (2, 2, 0)


def test_a_voter_without_a_leader_reports_the_voters_that_did_not_answer() -> None:
    cluster = elected()
    first, *others = BOXES
    for name in others:
        cluster.boxes[name].raft = None
    raft = cluster.boxes[first].raft
    assert raft is not None
    cluster.settle(100)

    health = raft.health(cluster.now)
    assert health is not None
    assert not health.leads
    assert {one.name for one in health.missing} == {f"{name}#first" for name in others}
    assert health.spare == -1


def test_a_follower_with_a_leader_reports_no_health() -> None:
    cluster = elected()
    followers = [
        box.raft for box in cluster.boxes.values() if box.raft and not box.raft.leads
    ]
    assert [raft.health(cluster.now) for raft in followers] == [None, None]


def test_a_box_without_a_group_reports_no_voters() -> None:
    cluster = elected()
    cluster.lose_disk("a")
    raft = cluster.boxes["a"].raft
    assert raft is not None
    cluster.network.clear()
    assert raft.health(cluster.now + 2_000) == GroupHealth(False, 0, ())


def test_a_line_is_written_on_a_change_and_repeated_while_there_is_no_quorum(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    cluster = elected()
    for name in BOXES[1:]:
        cluster.boxes[name].raft = None
    raft = cluster.boxes[BOXES[0]].raft
    assert raft is not None
    cluster.settle(100)
    metrics = Metrics()
    reporter = HealthReporter(ControlMetrics(metrics))

    for later in range(0, REPEAT_INTERVAL + CHECK_INTERVAL, CHECK_INTERVAL // 5):
        reporter.check(cluster.now + later, raft)

    lines = [line for line in caplog.records if line.message == "no quorum"]
    assert [line.spare for line in lines] == [-1, -1]  # type: ignore[attr-defined]
    assert b"leadseam_control_spare_voters -1" in metrics.render()
    assert b"leadseam_control_voters_missing 2" in metrics.render()


def test_a_replica_that_finds_a_leader_logs_it_and_clears_its_gauges(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    cluster = elected()
    first, *others = BOXES
    for name in others:
        cluster.boxes[name].raft = None
    cluster.settle(100)
    metrics = Metrics()
    reporter = HealthReporter(ControlMetrics(metrics))
    raft = cluster.boxes[first].raft
    assert raft is not None
    reporter.check(cluster.now, raft)
    for name in others:
        cluster.start(name)
    while cluster.leader() is None or raft.leads or not raft.leader:
        # If this replica is elected, it steps down, so that it follows a leader.
        cluster.settle(1)
        if raft.leads:
            raft.leave(cluster.now)
    reporter.check(cluster.now, raft)

    messages = [line.message for line in caplog.records]
    assert messages == ["no quorum", "a leader is heard"]
    assert b"leadseam_control_spare_voters nan" in metrics.render().lower()


def test_a_quorum_of_an_even_number_of_voters_is_more_than_half() -> None:
    health = GroupHealth(True, 6, (MissingVoter("x", 9_000),))
    assert (health.needed, health.answering, health.spare) == (4, 5, 1)
