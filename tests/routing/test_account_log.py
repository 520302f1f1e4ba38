"""Log lines about the client accounts that an entry refuses."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from leadseam.clock import ManualClock
from leadseam.outcome import Reason
from leadseam.routing.account_log import (
    MAX_ACCOUNTS,
    MAX_OTHER_ACCOUNTS,
    AccountLog,
)
from leadseam.routing.usage import UsageTable
from leadseam.wire.feed import LoadSums, UsageRow

if TYPE_CHECKING:
    import pytest


def log_records(caplog: pytest.LogCaptureFixture) -> list[dict[str, Any]]:
    """Return the fields of the log records."""
    return [vars(record) for record in caplog.records]


def test_a_line_tells_what_a_refused_account_asked_for_and_got(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    usage = UsageTable()
    rows = (UsageRow("menus", 900, 2_000), UsageRow("pay", 100, 1_000))
    usage.apply_sums(LoadSums((), rows), None, capacity=1_000, now=100, used_part=0.617)
    processor_times = iter((1.0, 1.25, 1.5))
    account_log = AccountLog(usage, ManualClock(140), lambda: next(processor_times))
    account_log.record_lag(320)
    account_log.record_lag(20)
    account_log.record_connection(refused=True)
    account_log.record_connection(refused=False)
    account_log.record_requested("menus", 300)
    account_log.record_handed("menus")
    account_log.record_placed("menus", 200)
    account_log.record_refusal("menus", Reason.UPSTREAM_FULL)
    account_log.record_refusal("menus", Reason.ENTRY_BUSY)
    account_log.write()
    account_log.write()
    (line,) = log_records(caplog)
    assert line["message"] == "accounts refused"
    assert (line["sums_age_ms"], line["stated_level"]) == (40, 500)
    assert line["engines_used"] == 0.62
    assert (line["lag_ms"], line["processor_ms"]) == (320, 250)
    assert (line["connections"], line["refused_unread"]) == (2, 1)
    assert line["accounts"] == [
        {
            "account": "menus",
            "asked": 300,
            "placed": 200,
            "largest": 300,
            "refused": {"upstream_full": 1, "entry_busy": 1},
            "handed": 1,
            "served_of_late": 900,
            "asked_of_late": 2_000,
            "standing": "stopped",
        }
    ]


def test_no_line_is_written_without_refusals(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    account_log = AccountLog(UsageTable(), ManualClock())
    account_log.record_requested("menus", 300)
    account_log.write()
    assert log_records(caplog) == []


def test_an_entry_that_refuses_nobody_tells_service_while_capacity_is_short(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    usage = UsageTable()
    rows = (UsageRow("menus", 900, 2_000), UsageRow("pay", 100, 1_000))
    usage.apply_sums(LoadSums((), rows), None, capacity=1_000, now=100)
    account_log = AccountLog(usage, ManualClock(140))
    account_log.write()
    account_log.record_requested("menus", 300)
    account_log.record_placed("menus", 300)
    account_log.write()
    (line,) = log_records(caplog)
    assert (line["accounts"][0]["placed"], line["accounts"][0]["refused"]) == (300, {})


def test_a_line_names_a_bounded_number_of_accounts(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    account_log = AccountLog(UsageTable(), ManualClock())
    listed = MAX_ACCOUNTS + MAX_OTHER_ACCOUNTS
    for number in range(listed + 3):
        for _ in range(number + 1):
            account_log.record_refusal(f"a{number}", Reason.UPSTREAM_FULL)
        account_log.record_requested(f"a{number}", number)
    account_log.write()
    (line,) = log_records(caplog)
    assert [row["account"] for row in line["accounts"]][:2] == ["a66", "a65"]
    assert len(line["accounts"]) == MAX_ACCOUNTS
    assert len(line["served"]) == MAX_OTHER_ACCOUNTS
    assert line["served"]["a58"] == [58, 0, 58]
    assert line["others"] == 3
    assert (line["sums_age_ms"], line["stop_level"]) == (-1, None)
