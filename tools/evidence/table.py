"""The table of evidence, in Markdown."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from tools.evidence.records import Evidence
    from tools.evidence.sites import Site

TOLERANCE = 0.03
"""Difference to the policy below which a mean worth is a finding."""
HEADINGS = (
    "deployment",
    "hunted",
    "rules broken",
    "mean worth",
    "policy",
    "difference",
    "gate",
    "sweep",
)
ROW = re.compile(r"^\| ([\w-]+) \| (\d\.\d{3})\b", re.MULTILINE)


def read_policy(page: str) -> dict[str, float]:
    """Return the mean worth that a page states for each deployment."""
    found: dict[str, float] = {}
    for name, worth in ROW.findall(page):
        found.setdefault(name, float(worth))
    return found


def render(
    sites: Iterable[Site],
    evidence: Mapping[str, Evidence],
    policy: Mapping[str, float],
    code: str,
) -> str:
    """Return the table.

    Args:
        sites: The deployments, one row each.
        evidence: What is known of them on the code.
        policy: Stated mean worth by name.
        code: Name of the code.
    """
    lines = [f"Code: {code}", "", _line(HEADINGS), _line(["---"] * len(HEADINGS))]
    lines += [_line(_cells(site, evidence.get(site.name), policy)) for site in sites]
    return "\n".join(lines)


def _cells(
    site: Site, known: Evidence | None, policy: Mapping[str, float]
) -> list[str]:
    stated = next((policy[name] for name in site.labels if name in policy), None)
    stated_text = "-" if stated is None else f"{stated:.3f}"
    if known is None:
        hunted = f"0 of {site.hunted_days}"
        return [site.name, hunted, "-", "-", stated_text, "-", "-", "no"]
    worth = known.mean_worth
    score = known.score
    gate = "-" if score is None else _passed(all(day.gate for day in score.days))
    return [
        site.name,
        f"{known.hunted} of {site.hunted_days}",
        ", ".join(f"{rule} {count}" for rule, count in known.broken.items()) or "none",
        "-" if worth is None else f"{worth:.3f}",
        stated_text,
        _difference(worth, stated),
        gate,
        "yes" if known.is_swept else "no",
    ]


def _difference(worth: float | None, stated: float | None) -> str:
    if worth is None or stated is None:
        return "-"
    difference = worth - stated
    finding = " (finding)" if difference < -TOLERANCE else ""
    return f"{difference:+.3f}{finding}"


def _passed(passed: bool) -> str:
    return "passed" if passed else "failed"


def _line(cells: Iterable[str]) -> str:
    return f"| {' | '.join(cells)} |"
