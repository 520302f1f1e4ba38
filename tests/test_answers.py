"""Answers of an entry's own."""

from __future__ import annotations

import pytest

from leadseam.entry.answers import MESSAGES, STATUS, error_response
from leadseam.outcome import Failed, NotRun, Reason, Unknown


@pytest.mark.parametrize("reason", Reason)
def test_each_reason_has_a_status_and_a_message(reason: Reason) -> None:
    assert 400 <= STATUS[reason] < 600
    assert MESSAGES[reason]
    for outcome in (NotRun(reason), Failed(reason), Unknown(reason)):
        assert error_response(outcome).status == STATUS[reason]
