"""Messages between the processes of a fleet.

Each is a frozen record encoded as a CBOR array `[tag, field, ...]`. Times are in
milliseconds; service is in the units of `leadseam.fairness.service`.
"""

from __future__ import annotations

from typing import TypeAlias

import msgspec

from leadseam.incarnation import Incarnation


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base of immutable rows; encoded as an array without a tag."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of immutable messages; each subclass sets its own tag."""


class Hello(Message, frozen=True, array_like=True, tag=1):
    """First message of either side of a link.

    Args:
        node: Name of the sending process.
        incarnation: Random number drawn when that process started.
    """

    node: str
    incarnation: int


class Free(Message, frozen=True, array_like=True, tag=2):
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


class Testimony(Message, frozen=True, array_like=True, tag=17):
    """Answer to `Query`.

    Args:
        attempt: The attempt.
        started: False only if it never started and never will.
    """

    attempt: int
    started: bool


class Leaving(Message, frozen=True, array_like=True, tag=18):
    """The sidecar takes no new work in this incarnation."""


class Subscribe(Message, frozen=True, array_like=True, tag=30):
    """Ask a control replica for its configuration feed.

    Args:
        node: Name of the subscriber.
        incarnation: Its incarnation.
        version: Highest version it holds, 0 for none.
        clock: The subscriber's clock.
        width: Number of replicas that it follows if it can.
    """

    node: str
    incarnation: int
    version: int
    clock: int = -1
    width: int = 1


class Snapshot(Message, frozen=True, array_like=True, tag=31):
    """A whole configuration, as CBOR of `leadseam.control.configuration`."""

    version: int
    data: bytes


class Delta(Message, frozen=True, array_like=True, tag=32):
    """Operations of one accepted change.

    Args:
        version: Version that the change leads to; it applies to the one before.
        data: CBOR of the operations.
    """

    version: int
    data: bytes


class Current(Message, frozen=True, array_like=True, tag=33):
    """Heartbeat of the feed: the replica is current at this version.

    Args:
        version: The version.
        echo: The subscriber's clock from its last `InForce`, -1 before the first. A
            heartbeat that waited in a buffer proves nothing about now.
        subscribers: Entries on the feed, 0 where that is not counted.
    """

    version: int
    echo: int = -1
    subscribers: int = 0


class InForce(Message, frozen=True, array_like=True, tag=34):
    """A subscriber has put a version in force.

    Args:
        version: The version.
        clock: The subscriber's clock.
    """

    version: int
    clock: int = -1


class Registration(Record, frozen=True, array_like=True):
    """An upstream as its heartbeat describes it.

    Args:
        incarnation: Which start of which upstream.
        pool: Pool that it serves.
        ip: IP number of the server.
        port: Its port.
        failure_domain: Failure domain of its box.
        slots: Requests that it works on at once.
        ready: Whether it takes new work.
        sequence: Grows with each heartbeat of this incarnation.
        cold_left: Milliseconds for which it is still slow from its start.
    """

    incarnation: Incarnation
    pool: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    ready: bool
    sequence: int
    cold_left: int = 0

    @property
    def instance(self) -> str:
        """Its id, which another start of it has too."""
        return self.incarnation.instance


class Registered(Message, frozen=True, array_like=True, tag=35):
    """Upstreams that the sending replica hears; `whole` replaces what it said."""

    rows: tuple[Registration, ...]
    whole: bool = False


class Expired(Message, frozen=True, array_like=True, tag=36):
    """Upstreams that the sending replica no longer hears."""

    incarnations: tuple[Incarnation, ...]


class Left(Message, frozen=True, array_like=True, tag=37):
    """Upstreams that leave; final for these incarnations and all before them."""

    incarnations: tuple[Incarnation, ...]


class Replicas(Message, frozen=True, array_like=True, tag=38):
    """Names of the boxes of the control group."""

    names: tuple[str, ...]


class LoadRow(Record, frozen=True, array_like=True):
    """Work in flight at one upstream, of one entry or of all.

    Args:
        upstream: Digest of the upstream's incarnation.
        requests: Requests sent and not ended.
        unread: Prompt tokens of those without a first byte of an answer.
        memory: Tokens that the requests are expected to hold.
    """

    upstream: int
    requests: int
    unread: int
    memory: int


class UsageRow(Record, frozen=True, array_like=True):
    """Service of one client account of late, at one entry or at all.

    Args:
        account: The client account.
        served: Service of requests that were sent to upstreams.
        asked: Service of requests that arrived.
    """

    account: str
    served: int
    asked: int


class LoadReport(Message, frozen=True, array_like=True, tag=39):
    """An entry's own counts; replaces its last report.

    Args:
        sequence: Number of the report.
        rows: Upstreams with work in flight.
        usage: Client accounts with requests of late.
    """

    sequence: int
    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]


class LoadSums(Record, frozen=True, array_like=True):
    """Counts of all entries, added up by a replica.

    Args:
        rows: Upstreams with work in flight.
        usage: Client accounts with requests of late.
    """

    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]


class LoadTotals(Message, frozen=True, array_like=True, tag=44):
    """The sums that contain the receiver's own report.

    Args:
        included: Number of that report.
        data: The sums as CBOR of `LoadSums`, encoded once for all receivers.
    """

    included: int
    data: bytes


class Claim(Message, frozen=True, array_like=True, tag=40):
    """Ask for the sole right to run a request with a caller's key.

    Args:
        ticket: Number to match the reply, unique on the link.
        account: Client account.
        key: The caller's Idempotency-Key.
        digest: Hash of the request, to refuse a reused key.
        owner: The claiming run, unique over all time.
    """

    ticket: int
    account: str
    key: str
    digest: int
    owner: str


class ClaimDone(Message, frozen=True, array_like=True, tag=41):
    """Record the answer of a claimed run; no reply."""

    account: str
    key: str
    owner: str
    status: int
    content_type: str
    body: bytes


class ClaimRelease(Message, frozen=True, array_like=True, tag=42):
    """Give up a claim whose request truly did not run; no reply."""

    account: str
    key: str
    owner: str


class ClaimReply(Message, frozen=True, array_like=True, tag=43):
    """Answer to `Claim`.

    Args:
        ticket: Number of the claim.
        verdict: A `leadseam.control.claims.Verdict`.
        status: HTTP status of the recorded answer, 0 where there is none.
        content_type: Its content type.
        body: Its body.
    """

    ticket: int
    verdict: str
    status: int = 0
    content_type: str = ""
    body: bytes = b""


class LogEntry(Record, frozen=True, array_like=True):
    """One entry of the replicated log; `kind` is a `raft.EntryKind` value."""

    term: int
    index: int
    kind: int
    data: bytes


class PreVote(Message, frozen=True, array_like=True, tag=50):
    """Ask whether a vote would be given in `term`; binds nobody."""

    sender: str
    term: int
    last_index: int
    last_term: int


class PreVoteReply(Message, frozen=True, array_like=True, tag=51):
    """Answer to `PreVote`; `term` is the one asked for."""

    sender: str
    term: int
    granted: bool


class Vote(Message, frozen=True, array_like=True, tag=52):
    """Ask for a vote."""

    sender: str
    term: int
    last_index: int
    last_term: int


class VoteReply(Message, frozen=True, array_like=True, tag=53):
    """Answer to `Vote`."""

    sender: str
    term: int
    granted: bool


class Append(Message, frozen=True, array_like=True, tag=54):
    """Entries or a heartbeat from the leader.

    Args:
        sender: The leader.
        term: Its term.
        prev_index: Index before the first entry.
        prev_term: Term of that index.
        entries: Entries, possibly none.
        commit: Commit index of the leader.
        sent: Leader's clock, echoed by the reply.
        echo: Follower's clock from its last reply; -1 while the leader has no lease.
        silent: Members that the leader does not hear, and for how many milliseconds.
    """

    sender: str
    term: int
    prev_index: int
    prev_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent: int
    echo: int
    silent: tuple[tuple[str, int], ...] = ()


class AppendReply(Message, frozen=True, array_like=True, tag=55):
    """Answer to `Append` or `Install`.

    Args:
        sender: The follower.
        term: Its term.
        success: Whether the entries fit.
        match: Last index known to match, or a hint for the next try.
        sent: The leader's clock from the request.
        clock: The follower's clock.
        stops: Whether the follower is about to stop.
    """

    sender: str
    term: int
    success: bool
    match: int
    sent: int
    clock: int
    stops: bool = False


class Install(Message, frozen=True, array_like=True, tag=56):
    """A whole snapshot for a follower that is too far behind."""

    sender: str
    term: int
    index: int
    index_term: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    data: bytes
    sent: int


class Join(Message, frozen=True, array_like=True, tag=57):
    """A replica on a new disk asks the leader to take it in."""

    sender: str


class Forward(Message, frozen=True, array_like=True, tag=58):
    """A command passed by a follower to the leader.

    Args:
        sender: The follower.
        ticket: Number to match the reply.
        data: The command.
    """

    sender: str
    ticket: int
    data: bytes


class ForwardReply(Message, frozen=True, array_like=True, tag=59):
    """Outcome of a forwarded command; `data` is empty if there was no quorum."""

    ticket: int
    data: bytes


AnyMessage: TypeAlias = (
    Hello
    | Free
    | Backlog
    | Service
    | OthersService
    | Grant
    | Decline
    | Dispatch
    | Accepted
    | Refused
    | Head
    | Chunk
    | Final
    | Credit
    | Cancel
    | Query
    | Testimony
    | Leaving
    | Subscribe
    | Snapshot
    | Delta
    | Current
    | InForce
    | Registered
    | Expired
    | Left
    | Replicas
    | LoadReport
    | LoadTotals
    | Claim
    | ClaimDone
    | ClaimRelease
    | ClaimReply
    | PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | Install
    | Join
    | Forward
    | ForwardReply
)
