"""Event loops in which a program can run."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import uvloop

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any, TypeAlias

    Main: TypeAlias = Coroutine[Any, Any, int]
    RunLoop: TypeAlias = Callable[[Main], int]

POOL_SIZE = 4
"""Threads of the pool for disk writes and other blocking calls."""


def run_in_aiomisc(main: Main) -> int:
    """Run a program's main coroutine with aiomisc and return its exit code."""
    # Imported on use: it costs 6 MB and a fifth of the start-up time of a small box.
    import aiomisc

    with aiomisc.entrypoint(log_config=False, pool_size=POOL_SIZE) as loop:
        return loop.run_until_complete(main)


def run_in_uvloop(main: Main) -> int:
    """Run a program's main coroutine with uvloop only and return its exit code."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main)
