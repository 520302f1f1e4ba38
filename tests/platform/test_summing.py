"""A control box that adds up loads stands still, with real processes.

The story and its evidence are told in `tests/feed/test_aggregator_selector.py`.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform


async def test_loads_are_added_up_elsewhere_while_a_box_stands_still(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    first, second, _ = platform.control_ips
    await wait_until(
        lambda: _is_chosen(platform, entry, first), "the first box adds up"
    )
    platform.signal(first, signal.SIGSTOP)
    await wait_until(lambda: _is_chosen(platform, entry, second), "the second one does")
    assert (await platform.call(entry, "/stream/x")).status == 200
    platform.signal(first, signal.SIGCONT)
    await wait_until(
        lambda: _is_chosen(platform, entry, first), "the first one does again"
    )


async def _is_chosen(platform: Platform, entry: str, box: str) -> bool:
    lines = platform.log(entry)
    chosen = [line["replica"] for line in lines if "added up" in line["message"]]
    return bool(chosen) and f"'{box}'" in chosen[-1]
