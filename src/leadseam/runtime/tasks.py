"""Background tasks: keeps references to them and logs their failures."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

log = logging.getLogger(__name__)

_running: set[asyncio.Task[Any]] = set()


def spawn(coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Run a coroutine as a background task.

    Args:
        coro: Coroutine to run; an exception that it raises is logged.

    Returns:
        The task, which is referenced here until it is done.
    """
    task = asyncio.create_task(coro)
    _running.add(task)
    task.add_done_callback(_finished)
    return task


def _finished(task: asyncio.Task[Any]) -> None:
    _running.discard(task)
    if not task.cancelled() and (exc := task.exception()) is not None:
        log.error("background task failed", exc_info=exc)
