"""Plots of how requests ended."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

import pytest

from leadseam.cli import explain
from leadseam.explain.plot import MAX_ACCOUNTS, by_account, by_second
from leadseam.explain.records import Ending, read_records
from leadseam.runtime.process import EXIT_FAILED

if TYPE_CHECKING:
    from pathlib import Path

    from leadseam.explain.records import EndedRequest


def line(at: int, account: str, outcome: str = "answered", **fields: object) -> str:
    """Return an entry's log line of an ended request."""
    ended = {"message": "request ended", "time": at, "account": account}
    return json.dumps(ended | {"outcome": outcome, "status": 200} | fields)


LINES = [
    line(1_000, "tellers"),
    line(1_900, "tellers", "not_run"),
    line(3_100, "menus", "not_run"),
    line(3_200, "menus", "failed"),
    line(3_300, "menus", first_ms=900, objective_ms=800),
]


def requests() -> list[EndedRequest]:
    return list(read_records(LINES))


def test_seconds_without_a_request_are_included() -> None:
    series = by_second(requests())
    assert series.keys == ("0", "1", "2")
    assert series.counts == {
        Ending.IN_TIME: (1, 0, 0),
        Ending.LATE: (0, 0, 1),
        Ending.REFUSED: (1, 0, 1),
        Ending.FAILED: (0, 0, 1),
    }


def test_the_account_that_lost_most_comes_first() -> None:
    series = by_account(requests())
    assert series.keys == ("menus", "tellers")
    assert series.counts[Ending.REFUSED] == (1, 1)
    assert series.counts[Ending.FAILED] == (1, 0)


def test_accounts_are_bounded_and_may_be_none() -> None:
    lines = [line(0, f"a-{number:02}") for number in range(30)]
    lines += [line(0, "", "failed")]
    series = by_account(read_records(lines))
    assert series.keys == ("none", *(f"a-{number:02}" for number in range(11)))
    assert len(series.keys) == MAX_ACCOUNTS


def test_no_requests_give_an_empty_series() -> None:
    assert by_second([]).keys == ()


def run(monkeypatch: pytest.MonkeyPatch, *args: str) -> None:
    monkeypatch.setattr(sys, "argv", ["leadseam-explain", *args])
    explain.main()


@pytest.mark.parametrize("lines", [LINES, []])
def test_a_plot_is_written(
    lines: list[str], tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    log = tmp_path / "entry.log"
    log.write_text("\n".join(lines))
    plot = tmp_path / "day.svg"
    run(monkeypatch, "--plot", str(plot), str(log))
    text = plot.read_text()
    assert "requests lost" in text
    assert ("menus" in text) is bool(lines)
    run(monkeypatch, "--plot", str(tmp_path / "day.png"), str(log))
    assert (tmp_path / "day.png").read_bytes().startswith(b"\x89PNG")


@pytest.mark.parametrize("name", ["day.odd", "none/day.svg"])
def test_a_file_that_cannot_be_written_is_reported(
    name: str,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    log = tmp_path / "entry.log"
    log.write_text(LINES[0])
    with pytest.raises(SystemExit) as exc:
        run(monkeypatch, "--plot", str(tmp_path / name), str(log))
    assert exc.value.code == EXIT_FAILED
    assert capsys.readouterr().err.startswith("leadseam-explain: ")


def test_a_missing_library_is_named(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    monkeypatch.setitem(sys.modules, "matplotlib", None)
    log = tmp_path / "entry.log"
    log.write_text(LINES[0])
    with pytest.raises(SystemExit):
        run(monkeypatch, "--plot", str(tmp_path / "day.svg"), str(log))
    assert "leadseam[plots]" in capsys.readouterr().err
