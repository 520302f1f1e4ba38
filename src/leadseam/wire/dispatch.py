"""Messages between entries and sidecars: backlog, grants, attempts and answers."""

from __future__ import annotations

from leadseam.wire.record import Message, Record


class SlotStatus(Message, frozen=True, array_like=True, tag=2):
    """State of a sidecar's slots.

    Args:
        slots: Slots that may be used now.
        healthy: Whether the upstream takes work.
    """

    slots: int
    healthy: bool


class BacklogRow(Record, frozen=True, array_like=True):
    """Waiting requests of one client account at one entry.

    Args:
        account: Client account.
        waiting: Number of waiting requests; 0 withdraws the row.
        age: Milliseconds that the oldest has waited.
    """

    account: str
    waiting: int
    age: int


class Backlog(Message, frozen=True, array_like=True, tag=3):
    """Changed backlog rows of the sending entry for the sidecar's pool."""

    rows: tuple[BacklogRow, ...]


class ServiceRow(Record, frozen=True, array_like=True):
    """Normalised service given to one client account.

    Args:
        account: Client account.
        served: Cumulative measured service divided by share.
        reserved: Expected rest of the requests in flight, divided by share.
        offset: Service credited without work when the account came back from idle.
    """

    account: str
    served: int
    reserved: int
    offset: int


class Service(Message, frozen=True, array_like=True, tag=4):
    """Changed service rows of the sending sidecar."""

    rows: tuple[ServiceRow, ...]


class OthersService(Message, frozen=True, array_like=True, tag=5):
    """Service that other sidecars of the pool gave, as merged by an entry."""

    rows: tuple[ServiceRow, ...]


class Grant(Message, frozen=True, array_like=True, tag=6):
    """Lease of one slot to one client account.

    Args:
        grant: Number of the lease, unique in the sidecar's incarnation.
        account: Client account that may use it.
    """

    grant: int
    account: str


class Decline(Message, frozen=True, array_like=True, tag=7):
    """A grant that the entry has no use for."""

    grant: int


class Dispatch(Message, frozen=True, array_like=True, tag=8):
    """A request to run under a grant.

    Args:
        attempt: Number of the attempt, unique in the entry's incarnation.
        grant: The lease it uses.
        account: Client account that pays.
        method: HTTP method towards the upstream.
        path: Path and query towards the upstream.
        headers: End-to-end headers to pass on.
        body: The caller's body, unchanged.
        repeatable: Whether the work may be cancelled and run again.
        priority: Priority class, lower is more urgent.
        deadline: Milliseconds left to the caller's deadline; 0 for none.
        window: Bytes that the sidecar may send ahead of `Credit`.
    """

    attempt: int
    grant: int
    account: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    priority: int
    deadline: int
    window: int


class Accepted(Message, frozen=True, array_like=True, tag=9):
    """The attempt is recorded as started; the upstream may see it."""

    attempt: int


class Refused(Message, frozen=True, array_like=True, tag=10):
    """The attempt was not started and never will be.

    Args:
        attempt: The attempt.
        reason: A `leadseam.outcome.RefusalReason`.
    """

    attempt: int
    reason: str


class Head(Message, frozen=True, array_like=True, tag=11):
    """Status line and headers of the upstream's response."""

    attempt: int
    status: int
    headers: tuple[tuple[str, str], ...]


class Chunk(Message, frozen=True, array_like=True, tag=12):
    """Bytes of the response body; `seq` counts from 0 without gaps."""

    attempt: int
    seq: int
    data: bytes


class Final(Message, frozen=True, array_like=True, tag=13):
    """End of a response.

    Args:
        attempt: The attempt.
        chunks: Number of `Chunk` messages sent.
        size: Bytes of the body.
        error: Empty for a whole response, else a `leadseam.outcome.Reason`.
        started: False when no byte of the request reached the upstream.
    """

    attempt: int
    chunks: int
    size: int
    error: str
    started: bool


class Credit(Message, frozen=True, array_like=True, tag=14):
    """Bytes that the entry has passed on to the caller."""

    attempt: int
    size: int


class Cancel(Message, frozen=True, array_like=True, tag=15):
    """The caller has gone; stop the work if it is repeatable."""

    attempt: int


class Query(Message, frozen=True, array_like=True, tag=16):
    """Ask what became of an attempt sent on an earlier connection."""

    attempt: int


class QueryReply(Message, frozen=True, array_like=True, tag=17):
    """Answer to `Query`.

    Args:
        attempt: The attempt.
        started: False only if it never started and never will.
    """

    attempt: int
    started: bool


class Leaving(Message, frozen=True, array_like=True, tag=18):
    """The sidecar takes no new work in this incarnation."""
