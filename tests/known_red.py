"""Tests that may fail for a known fault, as listed in `KNOWN-RED.txt` at the root.

Each line has four parts, separated by `|`: the test, the command and seed, what was
seen, and the issue. CI ignores the failures of these tests and prints the list. A
listed test that passes fails the run, so that a fix also removes it from the list.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_ENTRIES = 3
"""Longest permitted list; the entries of a longer one would be overlooked."""
UNCAPPED = "tests/crowds/"
"""Tests whose entries do not count: the users asked for one line for each of them."""


@dataclass(frozen=True, slots=True)
class KnownRed:
    """A test that fails for a known fault.

    Args:
        test: Node id of the test.
        command: Command and seed that reproduce the failure.
        seen: What was seen.
        issue: Where the fault is tracked.
    """

    test: str
    command: str
    seen: str
    issue: str

    def __str__(self) -> str:
        return f"{self.test}: {self.seen} ({self.issue}; {self.command})"


def read_known_red(path: Path = KNOWN_RED_FILE) -> tuple[KnownRed, ...]:
    """Return the entries of the list; none if the file does not exist.

    Raises:
        ValueError: If a line does not have four parts, or there are too many lines.
    """
    if not path.exists():
        return ()
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    entries = tuple(_read_line(line) for line in lines)
    counted = sum(not entry.test.startswith(UNCAPPED) for entry in entries)
    if counted > MAX_ENTRIES:
        raise ValueError(
            f"{path.name}: {counted} tests, at most {MAX_ENTRIES} permitted"
        )
    return entries


def _read_line(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 4 or not all(parts):
        raise ValueError(
            f"line must have the form 'test | command | seen | issue': {line!r}"
        )
    return KnownRed(*parts)
