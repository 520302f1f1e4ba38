"""When the soak considers a control group complete.

Three control boxes tolerate one loss. A run wiped a second disk while the first wiped
box had not recovered, so the group never did. The process of the first box had not
logged anything yet when the group was checked, so its last `membership changed` line
was from the process before, and named all three voters.

Log lines of the run: 9.8 s `group health` of the leader misses the box for 1.5 s; no
`started` of it before 15.0 s; 14.6 s another box starts without a disk.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tools.soak.run import SoakOptions, SoakRun
from tools.soak.soak_platform import SoakPlatform

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


async def test_group_is_incomplete_until_a_restarted_process_logs_its_members(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tools.platform.nodes.subprocess.Popen", lambda *_, **__: None)
    platform = SoakPlatform(tmp_path)
    try:
        for box in platform.control_ips:
            platform.start(box)
            log_membership(platform, box)
        soak = SoakRun(platform, 1, SoakOptions())
        assert await soak._group_is_complete()
        wiped = platform.control_ips[1]
        platform.start(wiped, bootstrap=False)
        assert not await soak._group_is_complete()
        log_membership(platform, wiped)
        assert await soak._group_is_complete()
    finally:
        platform.processes.clear()
        await platform.http.close()


def log_membership(platform: SoakPlatform, box: str) -> None:
    """Write the log line of a control process that names the whole group as voters."""
    voters = [f"{ip}#first" for ip in platform.control_ips]
    line = {"message": "membership changed", "voters": voters, "learners": []}
    with open(platform.folder / f"{box}.log", "a", encoding="utf-8") as log:
        log.write(json.dumps(line) + "\n")
