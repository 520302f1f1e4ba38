"""Control boxes that are replaced for good, with real processes.

The story and its evidence are told in `tests/control/test_replaced_box.py`.
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
"""Seconds after which a read has failed; a group that works answers within two."""


async def test_a_replaced_box_costs_no_later_loss(platform: Platform) -> None:
    gone, wiped, _ = platform.control_ips
    platform.kill(gone)
    newcomer = platform.replace_control(gone)
    await wait_for_vote(platform, newcomer)
    await wait_for_voters(platform, newcomer, set(platform.control_ips))

    newest = document(4)
    assert await platform.operator.replace(newest) == 200
    for ip in platform.control_ips:
        platform.kill(ip)
    shutil.rmtree(platform.folder / f"data-{wiped}")
    for ip in platform.control_ips:
        platform.start(ip, founding=False)

    assert await asyncio.wait_for(platform.operator.read(), READ_LIMIT) == newest


async def wait_for_vote(platform: Platform, box: str) -> None:
    """Wait until a box votes."""

    async def votes() -> bool:
        return box in platform.last_voters(box)

    await wait_until(votes, f"{box} votes")


async def wait_for_voters(platform: Platform, box: str, wanted: set[str]) -> None:
    """Wait until a box knows of these voters and no others."""

    async def settled() -> bool:
        return platform.last_voters(box) == wanted

    await wait_until(settled, f"the voters are {sorted(wanted)}")
