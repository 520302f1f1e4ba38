"""What journal entries show of a code."""

from __future__ import annotations

import json
import logging
import subprocess
import tomllib
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime
from statistics import mean
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator
    from pathlib import Path

PLAYED_PATHS = ("src", "deploy/system.toml", "deploy/requirements.py")
"""Paths on which a play depends, besides the dependencies."""
PROJECT_FILE = "pyproject.toml"
SLOTS_WITH_TROUBLE = frozenset({"trouble", "scale"})
DRAWN_DAY = "fresh-"
"""Beginning of the name of a day that a score draws."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Day:
    """A day that was played.

    Args:
        name: Name of the day, with its seed if it has one.
        slot: Kind of the day.
        worth: Worth of what was served, less prices.
        rules: Broken rules and how often.
        gate: Whether the day passed.
    """

    name: str
    slot: str
    worth: float
    rules: dict[str, int]
    gate: bool

    @property
    def is_standard(self) -> bool:
        """Whether the day counts for the mean of a score."""
        return self.slot in SLOTS_WITH_TROUBLE and not self.name.startswith(DRAWN_DAY)


@dataclass(frozen=True, slots=True)
class Record:
    """A journal entry.

    Args:
        command: Verb that was run.
        args: Its arguments.
        site: Name of the deployment.
        commit: Commit that was played.
        at: When it began.
        whole: Whether it ended by itself.
        days: Days that were played.
    """

    command: str
    args: tuple[str, ...]
    site: str
    commit: str
    at: datetime
    whole: bool
    days: tuple[Day, ...]

    @property
    def is_full_score(self) -> bool:
        """Whether it is a score of all standard days."""
        short = {"--quick", "--small"} & {*self.args}
        return self.command == "score" and self.whole and not short


@dataclass(slots=True)
class Evidence:
    """What is known of a deployment on one code.

    Args:
        records: Its journal entries, in order of time.
    """

    records: list[Record] = field(default_factory=list)

    @property
    def score(self) -> Record | None:
        """The newest full score."""
        scores = [one for one in self.records if one.is_full_score]
        return scores[-1] if scores else None

    @property
    def mean_worth(self) -> float | None:
        """Mean worth of the standard days with trouble."""
        days = self.score.days if self.score is not None else ()
        worth = [day.worth for day in days if day.is_standard]
        return mean(worth) if worth else None

    @property
    def hunted(self) -> int:
        """Number of hunted days."""
        hunts = (one for one in self.records if one.command == "hunt")
        return sum(len(one.days) for one in hunts)

    @property
    def is_swept(self) -> bool:
        """Whether a sweep has ended."""
        return any(one.command == "sweep" and one.whole for one in self.records)

    @property
    def broken(self) -> Counter[str]:
        """Broken rules of all days."""
        rules: Counter[str] = Counter()
        for day in self._days():
            rules.update(day.rules)
        return rules

    def unreplayed(self) -> list[str]:
        """Return the names of days with a broken rule that were not replayed."""
        replays = [one for one in self.records if one.command == "replay"]
        replayed = {" ".join(one.args[1:]) for one in replays}
        broken = dict.fromkeys(day.name for day in self._days() if day.rules)
        return [
            name
            for name in broken
            if not any(words.startswith(name) for words in replayed)
        ]

    def _days(self) -> Iterator[Day]:
        for record in self.records:
            if record.command in ("score", "hunt"):
                yield from record.days


def read_records(journal: Path) -> list[Record]:
    """Return the entries of a journal in order of time.

    Entries of plays that could not start, or that still run, are left out.
    """
    found = (_read(path) for path in journal.glob("*.json"))
    return sorted((one for one in found if one), key=lambda one: one.at)


def collect(
    records: Iterable[Record], is_same_code: Callable[[str], bool]
) -> dict[str, Evidence]:
    """Return the evidence of each deployment on one code.

    Args:
        records: Entries of the journal.
        is_same_code: Returns whether a commit has that code.
    """
    evidence: dict[str, Evidence] = {}
    for record in records:
        if is_same_code(record.commit):
            evidence.setdefault(record.site, Evidence()).records.append(record)
    return evidence


class CodeComparison:
    """Compares commits of a repository with what is checked out in it.

    Args:
        repository: Root of the repository.
    """

    def __init__(self, repository: Path) -> None:
        self._repository = repository
        self._known: dict[str, bool] = {}

    def is_same(self, commit: str) -> bool:
        """Return whether a commit has the same code; False if it is not known."""
        if commit not in self._known:
            self._known[commit] = self._compare(commit)
        return self._known[commit]

    def _compare(self, commit: str) -> bool:
        if self._git("diff", "--quiet", commit, "--", *PLAYED_PATHS) is None:
            return False
        earlier = self._git("show", f"{commit}:{PROJECT_FILE}")
        current = (self._repository / PROJECT_FILE).read_text(encoding="utf-8")
        return earlier is not None and _dependencies(earlier) == _dependencies(current)

    def _git(self, *args: str) -> str | None:
        """Return the output of git, or None if it fails."""
        done = subprocess.run(
            ["git", *args],
            cwd=self._repository,
            capture_output=True,
            encoding="utf-8",
            check=False,
        )
        return done.stdout if done.returncode == 0 else None


def _dependencies(project: str) -> list[str]:
    """Return the dependencies that a project file declares for its users."""
    return sorted(tomllib.loads(project)["project"]["dependencies"])


def _read(path: Path) -> Record | None:
    try:
        entry = json.loads(path.read_text(encoding="utf-8"))
        if not entry["site"] or entry["dirty"]:
            return None
        return Record(
            command=entry["cmd"],
            args=tuple(entry["argv"]),
            site=entry["site"],
            commit=entry["head"],
            at=datetime.fromisoformat(entry["at"][0]),
            whole=bool(entry["ok"]),
            days=tuple(_read_day(day) for day in entry["days"]),
        )
    except (KeyError, ValueError, TypeError) as exc:
        log.warning("entry not read", extra={"path": str(path), "error": repr(exc)})
        return None


def _read_day(day: dict[str, Any]) -> Day:
    return Day(day["name"], day["slot"], day["G"], day["rules"], day["gate"])
