"""A control box that aggregates loads is stopped, with real processes.

The failure and its cause are described in `tests/feed/test_aggregator_selector.py`.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform


async def test_another_replica_adds_up_loads_while_a_box_is_stopped(
    platform: Platform,
) -> None:
    entry = platform.entry_ips[0]
    first, second, _ = platform.control_ips
    await wait_until(
        lambda: _is_aggregator(platform, entry, first), "the first box adds up"
    )
    platform.signal(first, signal.SIGSTOP)
    await wait_until(
        lambda: _is_aggregator(platform, entry, second), "the second one does"
    )
    assert (await platform.call(entry, "/stream/x")).status == 200
    platform.signal(first, signal.SIGCONT)
    await wait_until(
        lambda: _is_aggregator(platform, entry, first), "the first one does again"
    )


async def _is_aggregator(platform: Platform, entry: str, box: str) -> bool:
    lines = platform.log(entry)
    chosen = [line["replica"] for line in lines if "added up" in line["message"]]
    return bool(chosen) and f"'{box}'" in chosen[-1]
