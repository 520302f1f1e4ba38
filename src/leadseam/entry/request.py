"""A caller's request in the entry, and the events of its attempts."""

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
    """Priority of a request within its account; also passed on to engines."""

    INTERACTIVE = 0
    NORMAL = 1
    BULK = 2


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A validated and routed request of a caller.

    Args:
        account: Client account that the service is charged to.
        pool: Pool that serves the request.
        method: HTTP method sent to the upstream.
        path: Path and query sent to the upstream.
        headers: End-to-end headers.
        body: Body, unchanged.
        priority: Priority within the account.
        deadline: Time until which the caller waits for an answer.
        repeatable: Whether the request may run more than once.
        arrived: Time of arrival.
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
    """The request was sent to a sidecar that had granted a slot."""

    link: SidecarLink
    attempt: int


@dataclass(frozen=True, slots=True)
class LinkLost:
    """The link to the sidecar was lost, and the attempt may have run."""


@dataclass(frozen=True, slots=True)
class NeverStarted:
    """The sidecar confirmed that the attempt did not start and never will."""


AttemptEvent: TypeAlias = (
    Dispatched | Accepted | Refused | Head | Chunk | Final | LinkLost | NeverStarted
)


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request in the entry's queue, with the events that its relay reads.

    Args:
        req: The request.
        seq: Sequence number, in order of arrival.
        events: Events of the current attempt.
        avoid: Names of upstreams on which an attempt failed already.
        queued: Whether the request is in the queue now.
    """

    req: CallerRequest
    seq: int
    events: asyncio.Queue[AttemptEvent] = field(default_factory=asyncio.Queue)
    avoid: set[str] = field(default_factory=set)
    queued: bool = False

    @property
    def order(self) -> tuple[int, int, int]:
        """Sort key within an account: priority, then deadline, then arrival."""
        return (self.req.priority, self.req.deadline, self.seq)

    @property
    def size(self) -> int:
        """Bytes of memory that count towards the limit of the queue."""
        return len(self.req.body)
