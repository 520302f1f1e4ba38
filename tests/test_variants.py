"""The replacements of all variants and ablations fit the current sources."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from tools.ablation import ABLATIONS
from tools.mechanisms import VARIANTS
from tools.variants import ROOT, SOURCES, Replacement, replace_in

if TYPE_CHECKING:
    from pathlib import Path

CHANGES = [
    *((one.name, change) for one in ABLATIONS for change in one.changes),
    *((one.name, Replacement(one.file, one.old, one.new)) for one in VARIANTS),
]


@pytest.mark.parametrize(("name", "change"), CHANGES, ids=lambda one: str(one)[:40])
def test_replaced_text_occurs_in_the_sources_once(
    name: str, change: Replacement
) -> None:
    text = (ROOT / SOURCES / change.file).read_text()
    assert text.count(change.old) == 1, name


def test_a_text_that_occurs_twice_is_not_replaced(tmp_path: Path) -> None:
    file = tmp_path / SOURCES / "a.py"
    file.parent.mkdir(parents=True)
    file.write_text("x = 1\ny = 1\n")
    with pytest.raises(SystemExit):
        replace_in(tmp_path, Replacement("a.py", "1", "2"))
    replace_in(tmp_path, Replacement("a.py", "x = 1", "x = 2"))
    assert file.read_text() == "x = 2\ny = 1\n"
