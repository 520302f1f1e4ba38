"""Control boxes that are replaced for good, with real processes.

The failure and its cause are described in `tests/control/test_replaced_box.py`.
"""

from __future__ import annotations

import asyncio
import shutil
from typing import TYPE_CHECKING

from tools.platform.nodes import document
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform

READ_LIMIT = 30
"""Seconds until a read counts as failed; a working group answers within two."""


async def test_a_replaced_box_does_not_weaken_the_group(platform: Platform) -> None:
    lost, wiped, _ = platform.control_ips
    platform.kill(lost)
    newcomer = platform.replace_control(lost)
    await wait_for_vote(platform, newcomer)
    await wait_for_voters(platform, newcomer, set(platform.control_ips))

    newest = document(4)
    assert await platform.operator.replace(newest) == 200
    for ip in platform.control_ips:
        platform.kill(ip)
    shutil.rmtree(platform.folder / f"data-{wiped}")
    for ip in platform.control_ips:
        platform.start(ip, bootstrap=False)

    assert await asyncio.wait_for(platform.operator.read(), READ_LIMIT) == newest


async def wait_for_vote(platform: Platform, box: str) -> None:
    """Wait until a box is a voter."""

    async def votes() -> bool:
        return box in platform.last_voters(box)

    await wait_until(votes, f"{box} votes")


async def wait_for_voters(platform: Platform, box: str, expected: set[str]) -> None:
    """Wait until the last membership line of a box lists exactly these voters."""

    async def has_voters() -> bool:
        return platform.last_voters(box) == expected

    await wait_until(has_voters, f"the voters are {sorted(expected)}")
