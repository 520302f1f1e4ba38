"""Reading the list of tests that are known to fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tests.known_red import KNOWN_RED_FILE, KnownRed, read_known_red

if TYPE_CHECKING:
    from pathlib import Path


def test_missing_file_is_an_empty_list(tmp_path: Path) -> None:
    assert read_known_red(tmp_path / "none") == ()


def test_line_has_test_command_observation_and_issue(
    tmp_path: Path,
) -> None:
    path = tmp_path / "list"
    path.write_text("tests/a.py::test_b | pytest, seed 3 | a late reply | issue 7\n\n")
    assert read_known_red(path) == (
        KnownRed("tests/a.py::test_b", "pytest, seed 3", "a late reply", "issue 7"),
    )


@pytest.mark.parametrize(
    "text", ["tests/a.py::test_b", "a | b | c", "a | b | c | d\n" * 4, "a || c | d"]
)
def test_malformed_or_too_long_list_is_refused(tmp_path: Path, text: str) -> None:
    path = tmp_path / "list"
    path.write_text(text)
    with pytest.raises(ValueError):
        read_known_red(path)


def test_every_listed_test_exists() -> None:
    root = KNOWN_RED_FILE.parent
    for entry in read_known_red():
        path, _, name = entry.test.partition("::")
        assert f"def {name.split('[')[0]}(" in (root / path).read_text()


def test_tests_of_crowds_do_not_count(tmp_path: Path) -> None:
    path = tmp_path / "list"
    path.write_text("tests/crowds/a.py::test_b | pytest | a late reply | issue 7\n" * 4)
    assert len(read_known_red(path)) == 4
