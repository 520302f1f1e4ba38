"""Statuses and messages of the error responses that an entry creates itself."""

from __future__ import annotations

import pytest

from leadseam.entry.error_responses import MESSAGES, STATUS_CODES, error_response
from leadseam.outcome import Failed, NotRun, Reason, Unknown


@pytest.mark.parametrize("reason", Reason)
def test_each_reason_has_a_status_and_a_message(reason: Reason) -> None:
    assert 400 <= STATUS_CODES[reason] < 600
    assert MESSAGES[reason]
    for outcome in (Failed(reason), Unknown(reason)):
        assert error_response(outcome).status == STATUS_CODES[reason]
    not_run = 503 if STATUS_CODES[reason] == 502 else STATUS_CODES[reason]
    assert error_response(NotRun(reason)).status == not_run


def test_not_run_is_never_reported_as_bad_gateway() -> None:
    # 502 doesn't tell whether a request ran, so a caller that must not repeat it does
    # not retry. This happened in a recorded day's traffic while all engines of a pool
    # were down: after four refused connections the answer was 502, and only its body
    # said "not run".
    for reason in Reason:
        assert error_response(NotRun(reason)).status != 502
    assert error_response(NotRun(Reason.UPSTREAM_UNREACHABLE, 500)).status == 503
    assert error_response(Failed(Reason.UPSTREAM_UNREACHABLE)).status == 502
    assert error_response(Unknown(Reason.UPSTREAM_BROKEN)).status == 502
