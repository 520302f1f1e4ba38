"""Answers of an entry's own."""

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


def test_what_has_not_run_is_never_told_as_a_bad_gateway() -> None:
    # 502 promises nothing, so who must not repeat a request does not come back. Seen on
    # a recorded day while all engines of a pool were down: four refused connections,
    # then 502, with the word "not run" in its body only.
    for reason in Reason:
        assert error_response(NotRun(reason)).status != 502
    assert error_response(NotRun(Reason.UPSTREAM_UNREACHABLE, 500)).status == 503
    assert error_response(Failed(Reason.UPSTREAM_UNREACHABLE)).status == 502
    assert error_response(Unknown(Reason.UPSTREAM_BROKEN)).status == 502
