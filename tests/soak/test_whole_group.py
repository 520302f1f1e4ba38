"""When the soak takes a control group for whole.

The story: with three control boxes, one of which may be lost, a run lost a second disk
while the first box was still out, and nothing recovered. The box had been killed with
its disk, and its next process had not written a line when the group was asked for; so
the last line on its members was one of the process before, and named all three.

The evidence, from the nodes' lines: 9.8 s `group health` of the leader misses the box
for 1.5 s; no `started` of it before 15.0 s; 14.6 s another box starts without a disk.
"""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from tools.soak.run import Size, Soak
from tools.soak.world import World

if TYPE_CHECKING:
    from pathlib import Path

    import pytest


async def test_a_process_that_has_written_nothing_is_no_part_of_a_whole_group(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("tools.platform.nodes.subprocess.Popen", lambda *_, **__: None)
    world = World(tmp_path)
    try:
        for box in world.control_ips:
            world.start(box)
            write_members(world, box)
        soak = Soak(world, 1, Size())
        assert await soak._is_whole()
        wiped = world.control_ips[1]
        world.start(wiped, bootstrap=False)
        assert not await soak._is_whole()
        write_members(world, wiped)
        assert await soak._is_whole()
    finally:
        world.processes.clear()
        await world.http.close()


def write_members(world: World, box: str) -> None:
    """Write the line of a control process that the whole group votes."""
    voters = [f"{ip}#first" for ip in world.control_ips]
    line = {"message": "membership changed", "voters": voters, "learners": []}
    with open(world.folder / f"{box}.log", "a", encoding="utf-8") as log:
        log.write(json.dumps(line) + "\n")
