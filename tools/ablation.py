"""Write copies of the project, each without one mechanism, to measure its effect.

Usage:
  ablation --list
  ablation FOLDER [NAME ...]

Each copy is a folder below FOLDER that is named after the mechanism and has all files
that a build and a run need; `whole` is the copy with all mechanisms. What is measured
in the copies, and how often, is up to the user.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from docopt import docopt

from tools.variants import Replacement, copy_project, replace_in

COPIED = ("src", "deploy", "tools", "pyproject.toml", "README.md")
WHOLE = "whole"


@dataclass(frozen=True, slots=True)
class Ablation:
    """Mechanism that can be disabled.

    Args:
        name: Name of the mechanism and of the copy without it.
        purpose: What the mechanism does.
        changes: Replacements that disable it.
    """

    name: str
    purpose: str
    changes: tuple[Replacement, ...]


ABLATIONS = (
    Ablation(
        "estimate-by-engine",
        "the time to the first token is estimated per engine, not per pool",
        (
            Replacement(
                "routing/estimate.py",
                "return self._engines.get(row.incarnation) or self.pool(row.pool)",
                "return self.pool(row.pool)",
            ),
        ),
    ),
    Ablation(
        "reading-ahead",
        "reading ahead at an engine is limited below what would still be in time",
        (
            Replacement(
                "routing/admission.py",
                "MAX_READING_AHEAD: Millis = 100",
                "MAX_READING_AHEAD: Millis = 10_000",
            ),
        ),
    ),
    Ablation(
        "beyond-bound",
        "accounts beyond their stated share get only engines with nothing to read",
        (
            Replacement(
                "routing/admission.py",
                "MAX_READING_AHEAD_OF_LEADERS: Millis = 0",
                "MAX_READING_AHEAD_OF_LEADERS: Millis = 50",
            ),
        ),
    ),
    Ablation(
        "stated-share",
        "accounts within their share of the stated capacity go before others",
        (
            Replacement(
                "routing/usage.py",
                "        if level <= self.stated:\n"
                "            return Standing.WITHIN\n",
                "        if level <= self.stated:\n            pass\n",
            ),
        ),
    ),
    Ablation(
        "leads",
        "accounts that are ahead leave capacity to one that is short of its share",
        (
            Replacement(
                "routing/usage.py",
                "    if not short:\n",
                "    if True:\n",
            ),
        ),
    ),
    Ablation(
        "wait-for-room",
        "a request waits for capacity as long as it can still be in time",
        (
            Replacement(
                "routing/admission.py",
                "return round(max(in_time, waiter.objective * MIN_WAIT_PART))",
                "return round(min(in_time, waiter.objective * MIN_WAIT_PART))",
            ),
        ),
    ),
    Ablation(
        "affinity",
        "all entries prefer one engine for the shared parts of a prompt",
        (
            Replacement(
                "routing/engine_order.py",
                "    if affinity is None:\n        return rows\n",
                "    if True:\n        return rows\n",
            ),
        ),
    ),
    Ablation(
        "first-configuration",
        "requests wait for an entry's first configuration",
        (
            Replacement(
                "routing/first_configuration.py",
                "MAX_WAITING = 256",
                "MAX_WAITING = 0",
            ),
        ),
    ),
    Ablation(
        "early-candidates",
        "an election without a winner is repeated soon",
        (
            Replacement(
                "control/election.py",
                "PRE_VOTE_RETRY_DELAY: Millis = 150",
                "PRE_VOTE_RETRY_DELAY: Millis = 500",
            ),
        ),
    ),
    Ablation(
        "silence-watch",
        "a request leaves an upstream that falls silent if another one may run it",
        (
            Replacement(
                "routing/exchange.py",
                "        if self._too_late() or not self._may_run_again(runs):\n"
                "            return False\n",
                "        if runs:\n            return False\n",
            ),
        ),
    ),
    Ablation(
        "left-alone",
        "an upstream that fails many requests is excluded for some time",
        (
            Replacement(
                "routing/health.py",
                "return row is None or now >= row.until",
                "return True",
            ),
        ),
    ),
    Ablation(
        "busy-refusals",
        "an entry short of processor time refuses requests, accounts ahead first",
        (
            Replacement(
                "routing/gateway.py",
                "MAX_LAG: Millis = 30",
                "MAX_LAG: Millis = 10_000",
            ),
            Replacement(
                "routing/gateway.py",
                "EXCESS_LAG: Millis = 10",
                "EXCESS_LAG: Millis = 10_000",
            ),
        ),
    ),
    Ablation(
        "retries",
        "a request that may run again is retried at another upstream",
        (
            Replacement(
                "routing/exchange.py",
                "MAX_SENDS = 4",
                "MAX_SENDS = 1",
            ),
        ),
    ),
)


def main() -> None:
    """Entry point of `python -m tools.ablation`."""
    args = docopt(__doc__)
    if args["--list"]:
        for one in ABLATIONS:
            print(f"{one.name}: {one.purpose}")
        return
    folder = Path(args["FOLDER"])
    wanted = set(args["NAME"])
    for name, changes in _copies():
        if not wanted or name in wanted:
            _write_copy(folder / name, changes)
            print(folder / name)


def _copies() -> list[tuple[str, tuple[Replacement, ...]]]:
    return [(WHOLE, ()), *((one.name, one.changes) for one in ABLATIONS)]


def _write_copy(copy: Path, changes: tuple[Replacement, ...]) -> None:
    copy.mkdir(parents=True)
    copy_project(copy, COPIED)
    for change in changes:
        replace_in(copy, change)


if __name__ == "__main__":
    main()
