"""A caller's request as the entry holds it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, TypeAlias

from leadseam.wire.dispatch import Accepted, Chunk, Final, Head, Refused

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.entry.sidecar_link import SidecarLink


class Priority(IntEnum):
    """Classes within one account; also passed to engines as their priority."""

    INTERACTIVE = 0
    NORMAL = 1
    BULK = 2


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """What a caller asked for, checked and routed.

    Args:
        account: Client account that pays.
        pool: Pool that serves it.
        method: HTTP method towards the upstream.
        path: Path and query towards the upstream.
        headers: End-to-end headers.
        body: Body, unchanged.
        priority: Class within the account.
        deadline: Time at which the caller gives up.
        repeatable: Whether it may run more than once.
        arrived: When it arrived.
    """

    account: str
    pool: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: Priority
    deadline: Millis
    repeatable: bool
    arrived: Millis


@dataclass(frozen=True, slots=True)
class Dispatched:
    """The request was sent to a sidecar under a grant."""

    link: SidecarLink
    attempt: int


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to the sidecar broke while the attempt was open."""


@dataclass(frozen=True, slots=True)
class NeverStarted:
    """The sidecar testifies that the attempt did not start and never will."""


AttemptEvent: TypeAlias = (
    Dispatched | Accepted | Refused | Head | Chunk | Final | LinkLost | NeverStarted
)


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in the entry's queue, and the mailbox of its handler.

    Args:
        req: The request.
        seq: Order of arrival.
        events: What happens to its attempts.
        avoid: Upstreams that failed it already.
        queued: Whether it waits now.
    """

    req: CallerRequest
    seq: int
    events: asyncio.Queue[AttemptEvent] = field(default_factory=asyncio.Queue)
    avoid: set[str] = field(default_factory=set)
    queued: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Order within an account: class, then deadline, then arrival."""
        return (self.req.priority, self.req.deadline, self.seq)

    @property
    def size(self) -> int:
        """Bytes that it holds while waiting."""
        return len(self.req.body)
