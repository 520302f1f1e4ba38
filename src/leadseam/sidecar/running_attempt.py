"""Entries connected to a sidecar, and the attempts that run for them."""

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
        hello: Name and incarnation of the entry.
        link: Link that the entry opened.
        running: Running attempts of the entry, by number.
    """

    hello: Hello
    link: Link
    running: dict[int, RunningAttempt] = field(default_factory=dict)


@dataclass(slots=True)
class RunningAttempt:
    """An attempt that was accepted and runs, or waits for one of the slots.

    Args:
        lease: Lease under which the attempt was accepted.
        req: Message that dispatched the request.
        window: Flow control of the response.
        service: Service measured so far, not normalised.
        released: Part of the reserved service released so far.
        may_have_started: Whether the request may have reached the upstream.
        ended_as_hanging: Whether the attempt was cancelled because the upstream hangs.
        task: Task that runs the attempt.
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
    """Return the message that ends the attempt, or None if the entry abandoned it."""
    if not task.cancelled() and task.exception() is None:
        return task.result()
    if task.cancelled() and not running.ended_as_hanging:
        return None
    reason = Reason.UPSTREAM_BROKEN
    return Final(running.req.attempt, 0, 0, reason, started=running.may_have_started)
