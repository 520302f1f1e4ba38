"""Copies of the project in which a piece of the sources is replaced."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

ROOT = Path(__file__).resolve().parent.parent
SOURCES = Path("src") / "leadseam"


@dataclass(frozen=True, slots=True)
class Replacement:
    """Replacement of a text in one source file.

    Args:
        file: Source file below `src/leadseam`.
        old: Text to replace; it must occur in the file exactly once.
        new: Text to insert instead.
    """

    file: str
    old: str
    new: str


def copy_project(target: Path, names: Iterable[str]) -> None:
    """Copy files and folders of the project into an existing folder."""
    for name in names:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, target / name, ignore=ignore)
        else:
            shutil.copy(source, target)


def replace_in(copy: Path, change: Replacement) -> None:
    """Apply a replacement to a copy of the project.

    Raises:
        SystemExit: If the old text does not occur in the file exactly once.
    """
    source = copy / SOURCES / change.file
    text = source.read_text()
    if text.count(change.old) != 1:
        raise SystemExit(
            f"{change.file}: {change.old!r} must occur exactly once,"
            f" but occurs {text.count(change.old)} times"
        )
    source.write_text(text.replace(change.old, change.new))
