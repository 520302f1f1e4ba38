"""Entries that are connected to a sidecar, and the attempts that run for them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.outcome import Reason
from leadseam.wire.dispatch import Final

if TYPE_CHECKING:
    import asyncio

    from leadseam.sidecar.scheduler import Lease
    from leadseam.sidecar.upstream import Window
    from leadseam.wire.dispatch import Dispatch
    from leadseam.wire.link import Link
    from leadseam.wire.messages import Hello


@dataclass(slots=True)
class EntryPeer:
    """A connected entry.

    Args:
        hello: Who it is.
        link: The link it dialled.
        running: Its attempts that run here now.
    """

    hello: Hello
    link: Link
    running: dict[int, RunningAttempt] = field(default_factory=dict)


@dataclass(slots=True)
class RunningAttempt:
    """An attempt that holds a slot.

    Args:
        lease: The lease that it used.
        req: The request.
        window: Flow control of its response.
        service: Service measured so far, not normalised.
        released: Reserved service given back so far.
        entered: Whether it may have reached the upstream.
        broken: Whether it was ended because the upstream hangs.
        task: The task that runs it.
    """

    lease: Lease
    req: Dispatch
    window: Window
    service: int = 0
    released: int = 0
    may_have_started: bool = False
    ended_as_hanging: bool = False
    task: asyncio.Task[Final] | None = None


def final_message(running: RunningAttempt, task: asyncio.Task[Final]) -> Final | None:
    """Return what to tell the entry, or None if nobody wants to know."""
    if not task.cancelled() and task.exception() is None:
        return task.result()
    if task.cancelled() and not running.ended_as_hanging:
        return None
    reason = Reason.UPSTREAM_BROKEN
    return Final(running.req.attempt, 0, 0, reason, started=running.may_have_started)
