"""What the callers of deadly requests take for written.

Seed 7501 with --deadly --suspended waited for verdicts in vain in two of five runs: the
control box that wrote them was replaced later in the run, and only the logs of the
boxes there now were read. The logs of the second one show both lines at that box.
"""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from tools.soak.deadly import WRITTEN, Deadly

if TYPE_CHECKING:
    from pathlib import Path


async def test_a_box_that_was_replaced_since_tells_what_it_wrote(
    tmp_path: Path,
) -> None:
    def log(box: str) -> list[dict[str, Any]]:
        text = (tmp_path / f"{box}.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    world = SimpleNamespace(folder=tmp_path, control_ips=["127.0.2.1"], log=log)
    deadly = Deadly(cast("Any", world), 1, cast("Any", None))
    lines = {"127.0.0.22": ["a"], "127.0.2.1": []}
    for box, fingerprints in lines.items():
        line = {"message": WRITTEN, "fingerprints": fingerprints}
        (tmp_path / f"{box}.log").write_text(json.dumps(line) + "\n")
    assert not await deadly._is_written()
    line = {"message": WRITTEN, "fingerprints": ["a", "b"]}
    (tmp_path / "127.0.0.22.log").write_text(json.dumps(line) + "\n")
    assert await deadly._is_written()
