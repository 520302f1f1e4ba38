"""Decisions after failed attempts, and the retry budget."""

from __future__ import annotations

import pytest

from leadseam.entry.request import CallerRequest, LinkLost, NeverStarted, Priority
from leadseam.entry.retry import (
    Deliver,
    Ending,
    Finish,
    Retry,
    RetryBudget,
    decide,
    outcome_without_retry,
)
from leadseam.outcome import Failed, NotRun, Reason, Unknown
from leadseam.wire.dispatch import Final, Head, Refused


def request(*, repeatable: bool) -> CallerRequest:
    """Return a request that may or must not be repeated."""
    return CallerRequest(
        account="a",
        pool="p",
        method="POST",
        path="/",
        headers=(),
        body=b"",
        priority=Priority.NORMAL,
        deadline=1_000,
        repeatable=repeatable,
        arrived=0,
    )


BROKEN = Final(1, 0, 0, Reason.UPSTREAM_BROKEN, True)
UNREACHED = Final(1, 0, 0, Reason.UPSTREAM_UNREACHABLE, False)


@pytest.mark.parametrize("ending", [LinkLost(), BROKEN])
def test_non_repeatable_request_that_may_have_run_is_reported_as_unknown(
    ending: Ending,
) -> None:
    decision = decide(request(repeatable=False), ending)
    assert isinstance(decision, Finish)
    assert isinstance(decision.outcome, Unknown)


@pytest.mark.parametrize("ending", [NeverStarted(), UNREACHED, Refused(1, "leaving")])
@pytest.mark.parametrize("repeatable", [True, False])
def test_attempt_that_did_not_run_may_be_retried(
    ending: Ending, repeatable: bool
) -> None:
    req = request(repeatable=repeatable)
    assert isinstance(decide(req, ending), Retry)
    assert isinstance(outcome_without_retry(req, ending), NotRun)


def test_repeatable_work_is_retried_elsewhere() -> None:
    decision = decide(request(repeatable=True), BROKEN)
    assert decision == Retry("upstream_broken", avoid=True, uses_budget=True)
    assert outcome_without_retry(request(repeatable=True), BROKEN) == Failed(
        Reason.RETRIES_EXHAUSTED
    )


@pytest.mark.parametrize("status", [502, 503, 504])
def test_a_gateway_error_is_passed_on_if_not_repeatable(status: int) -> None:
    head = Head(1, status, ())
    assert decide(request(repeatable=False), head) == Deliver()
    assert isinstance(decide(request(repeatable=True), head), Retry)


def test_budget_stops_retries_after_many_failures_and_recovers() -> None:
    budget = RetryBudget(size=10, ratio=0.5)
    allowed = 0
    for _ in range(100):
        budget.failed()
        allowed += budget.allows()
    assert allowed == 4
    for _ in range(12):
        budget.succeeded()
    assert budget.allows()
