"""Deployments to play, from their site files."""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

LARGE_FROM = 60
"""Boxes from which a deployment counts as large."""
HUNTED_DAYS = 40
HUNTED_DAYS_IF_LARGE = 8


@dataclass(frozen=True, slots=True)
class Site:
    """A deployment.

    Args:
        name: Its name.
        path: Its site file.
        boxes: Number of its own boxes.
    """

    name: str
    path: Path
    boxes: int

    @property
    def hunted_days(self) -> int:
        """Number of days that have to be hunted."""
        return HUNTED_DAYS_IF_LARGE if self.boxes >= LARGE_FROM else HUNTED_DAYS

    @property
    def labels(self) -> tuple[str, str]:
        """Names under which pages list it: its own, and that of its folder."""
        return self.name, self.path.parent.name


def find_sites(folder: Path) -> list[Site]:
    """Return the deployments of all site files below a folder, by name."""
    found = (_read(path) for path in folder.rglob("*.toml"))
    return sorted((site for site in found if site), key=lambda site: site.name)


def _read(path: Path) -> Site | None:
    """Return the deployment of a site file, or None if the file is something else."""
    data = tomllib.loads(path.read_text(encoding="utf-8"))
    if "machines" not in data or "day" not in data:
        return None
    return Site(data["name"], path, _count(data["machines"]))


def _count(machines: Iterable[dict[str, int]]) -> int:
    return sum(group["count"] for group in machines)
