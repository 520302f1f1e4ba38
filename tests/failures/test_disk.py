"""On a disk failure, a replica stops serving and no acknowledged change is lost."""

from __future__ import annotations

import json
import os
import resource
from typing import TYPE_CHECKING

from tests.failures.test_configuration import change, describe, leader, share_in_force
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet


async def test_a_full_disk_makes_a_replica_stop_serving(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    code, _ = await change(fleet, 2)
    assert code == 0
    full = await leader(fleet)
    # Like a full disk, this limit prevents the process from growing any file.
    pid = fleet.nodes[full].pid
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, 0))
    code, reply = await change(fleet, 3)
    if code != 0:
        code, reply = await change(fleet, 3)
    assert (code, reply["status"]) in ((0, "accepted"), (0, "unchanged"))
    await wait_until(
        lambda: has_failed(fleet, full), f"{full} reports that its disk failed"
    )
    assert not await fleet.is_ready(full)
    assert await share_in_force(fleet) == 3
    fleet.nodes[full].kill()
    fleet.start(full)
    await fleet.wait_ready(full)
    assert await share_in_force(fleet) == 3


async def test_damaged_journal_ends_the_process_with_an_error_code(
    fleet: Fleet,
) -> None:
    describe(fleet)
    await fleet.start_all()
    for share in range(2, 6):
        code, _ = await change(fleet, share)
        assert code == 0
    fleet.nodes["control-1"].kill()
    journal = fleet.folder / "data-control-1" / "journal-1"
    with open(journal, "r+b") as file:
        file.seek(20)
        byte = file.read(1)[0]
        file.seek(20)
        file.write(bytes([byte ^ 0x55]))
        os.fsync(file.fileno())
    fleet.start("control-1")
    assert await fleet.nodes["control-1"].wait_exit() == 4
    log = fleet.nodes["control-1"].log.read_text().splitlines()
    assert json.loads(log[-1])["code"] == "storage_damaged"
    assert await share_in_force(fleet) == 5


async def has_failed(fleet: Fleet, name: str) -> bool:
    """Return whether a replica reports that its disk failed."""
    async with fleet.http.get(fleet.url(name, "/readyz")) as resp:
        return str((await resp.json())["reason"]).startswith("storage")
