"""Deadly requests in the soak: verdicts that count as written, and crashes.

Seed 7501 with --deadly --suspended waited for verdicts in vain in two of five runs: the
control box that wrote them was replaced later in the run, and only the logs of the
current boxes were read. The logs of the second run show both lines at that box.
"""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any, cast

from multidict import CIMultiDict

from tools.platform.standin import Run, Server
from tools.soak.deadly import VERDICT_WRITTEN, DeadlyCallers
from tools.soak.disturbances import DisturbanceLog
from tools.waiting import wait_until

if TYPE_CHECKING:
    from pathlib import Path


async def test_verdicts_written_by_a_replaced_box_count(
    tmp_path: Path,
) -> None:
    def log(box: str) -> list[dict[str, Any]]:
        text = (tmp_path / f"{box}.log").read_text()
        return [json.loads(line) for line in text.splitlines()]

    platform = SimpleNamespace(folder=tmp_path, control_ips=["127.0.2.1"], log=log)
    deadly = DeadlyCallers(cast("Any", platform), 1, cast("Any", None))
    lines = {"127.0.0.22": ["a"], "127.0.2.1": []}
    for box, fingerprints in lines.items():
        line = {"message": VERDICT_WRITTEN, "fingerprints": fingerprints}
        (tmp_path / f"{box}.log").write_text(json.dumps(line) + "\n")
    assert not await deadly._verdicts_written()
    line = {"message": VERDICT_WRITTEN, "fingerprints": ["a", "b"]}
    (tmp_path / "127.0.0.22.log").write_text(json.dumps(line) + "\n")
    assert await deadly._verdicts_written()


async def test_a_stopped_server_does_not_crash_and_restart() -> None:
    # In CI a deadly request reached a server while it was being stopped. The server
    # restarted on the port of its successor, which then failed: the port was in use.
    server = Server("127.0.0.41", 0, "plain", ["127.0.0.1:1"])
    await server.start()
    await server.stop()
    server.crash()
    assert server.is_up


async def test_a_server_that_crashes_while_it_leaves_announces_it_again() -> None:
    # Otherwise its restart, which leaves nowhere, counts as one that has left.
    server = Server("127.0.0.41", 0, "plain", ["127.0.0.1:1"], restart_delay=0.01)
    await server.start()
    leaving = asyncio.create_task(server.drain())
    await wait_until(lambda: is_draining(server), "it announces that it leaves")
    server.crash()
    while not leaving.done():
        server.acks += 1
        await asyncio.sleep(0.02)
    assert server.state == "draining"
    await server.stop()


async def is_draining(server: Server) -> bool:
    """Return whether a server announces that it leaves."""
    return server.state == "draining"


def test_crashes_are_disturbances_of_their_servers() -> None:
    # In CI a stream was cut because its only two servers crashed, but it was blamed on
    # the planned stop of its entry; the log lines show the attempt that broke.
    run = Run("d1", "POST", "/safe/deadly", b"", CIMultiDict(), at=50.0)
    server = Server("127.0.0.41", 0, "plain", [], crashes=[run])
    disturbances = DisturbanceLog()
    platform = SimpleNamespace(all_servers=[server], disturbances=disturbances)
    DeadlyCallers(cast("Any", platform), 1, cast("Any", None)).check_at_end(timed=False)
    assert disturbances.was_disturbed("127.0.0.41", 50.1, 50.2, planned=False)
    assert not disturbances.was_disturbed("127.0.0.42", 50.1, 50.2)
