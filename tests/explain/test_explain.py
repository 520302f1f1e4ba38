"""Tables of ended requests from log lines of entries."""

from __future__ import annotations

import json
import subprocess
import sys
from typing import TYPE_CHECKING, Any

from leadseam.explain.records import Ending, read_records
from leadseam.explain.tables import GroupKey, group_requests, render

if TYPE_CHECKING:
    from pathlib import Path


def line(request_id: str, **fields: Any) -> str:
    """Return a log line of an ended request, by default answered in time."""
    defaults = {
        "time": 5_400,
        "node": "entry-1",
        "message": "request ended",
        "request": request_id,
        "route": "chat",
        "account": "bank",
        "instance": "i-1",
        "outcome": "answered",
        "status": 200,
        "ms": 900,
        "first_ms": 100,
        "objective_ms": 400,
        "prompt": 628,
        "reread": 0,
        "fetched": 0,
    }
    return json.dumps(defaults | fields)


LINES = (
    "12.5 entry-1 " + line("in-time"),
    line("late", first_ms=401, prompt=20_000, instance="i-2", reread=70),
    line("refused", outcome="not_run", reason="upstream_full", standing="ahead"),
    line("error", status=500, fetched=6_300),
    line("broken", outcome="failed", reason="upstream_broken", time=6_100),
    json.dumps({"message": "request refused", "request": "unread", "reason": "busy"}),
    json.dumps({"message": "started", "node": "entry-1"}),
    "no line of ours {",
    "",
)


def test_unrelated_lines_are_skipped() -> None:
    endings = {one.request_id: one.ending for one in read_records(LINES)}
    assert endings == {
        "in-time": Ending.IN_TIME,
        "late": Ending.LATE,
        "refused": Ending.REFUSED,
        "error": Ending.FAILED,
        "broken": Ending.FAILED,
        "unread": Ending.REFUSED,
    }


def test_groups_that_lost_most_come_first() -> None:
    rows = group_requests(read_records(LINES), GroupKey.REASON)
    assert [(row.name, row.total, row.lost) for row in rows] == [
        ("-", 2, 1),
        ("busy", 1, 1),
        ("status 500", 1, 1),
        ("upstream_broken", 1, 1),
        ("upstream_full", 1, 1),
    ]


def test_seconds_and_sizes() -> None:
    records = list(read_records(LINES))
    assert [row.name for row in group_requests(records, GroupKey.SECOND)] == [
        "0",
        "5",
        "6",
    ]
    sizes = {row.name: row.total for row in group_requests(records, GroupKey.SIZE)}
    assert sizes == {
        "below 1,000 tokens": 4,
        "below 64,000 tokens": 1,
        "no prompt": 1,
    }


def test_a_table() -> None:
    rows = group_requests(read_records(LINES), GroupKey.UPSTREAM)
    assert render(rows, GroupKey.UPSTREAM, max_rows=2) == (
        "upstream  all  in time  late  refused  failed  reread  fetched\n"
        "i-1         4        1     0        1       2       0     6300\n"
        "-           1        0     0        1       0       0        0\n"
        "and 1 more"
    )


def test_the_command(tmp_path: Path) -> None:
    log = tmp_path / "entry.log"
    log.write_text("\n".join(LINES))
    command = [sys.executable, "-m", "leadseam.cli.explain"]
    done = subprocess.run(
        [*command, "--by", "standing", "--request", "refused", str(log)],
        capture_output=True,
        text=True,
        check=True,
    )
    assert done.stdout.splitlines()[1].split() == [
        "ahead",
        "1",
        "0",
        "0",
        "1",
        "0",
        "0",
        "0",
    ]
    wrong = subprocess.run([*command, "--by", "colour"], capture_output=True, text=True)
    assert wrong.returncode == 2
    assert "colour" in wrong.stderr
