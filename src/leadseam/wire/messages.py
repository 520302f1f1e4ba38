"""All messages between the processes of a fleet, encoded as `[tag, field, ...]`."""

from __future__ import annotations

from typing import TypeAlias

from leadseam.wire.claim import Claim, ClaimDone, ClaimRelease, ClaimReply
from leadseam.wire.consensus import (
    Append,
    AppendReply,
    Forward,
    ForwardReply,
    Install,
    Join,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)
from leadseam.wire.crashes import Crashes
from leadseam.wire.dispatch import (
    Accepted,
    Backlog,
    Cancel,
    Chunk,
    Credit,
    Decline,
    Dispatch,
    Final,
    Grant,
    Head,
    Leaving,
    OthersService,
    Query,
    QueryReply,
    Refused,
    Service,
    SlotStatus,
)
from leadseam.wire.feed import (
    CacheChanges,
    Current,
    Delta,
    DomainSums,
    Evacuated,
    Expired,
    InForce,
    Left,
    LoadReport,
    LoadTotals,
    PartInterest,
    Registered,
    Replicas,
    Snapshot,
    Subscribe,
)
from leadseam.wire.handover import ConnectionRows
from leadseam.wire.record import Message
from leadseam.wire.versions import FindStream, StreamFound, StreamsBegan, Versions


class Hello(Message, frozen=True, array_like=True, tag=1):
    """First message from each side of a link.

    Args:
        node: Name of the sending process.
        incarnation: Random number drawn when that process started.
        failure_domain: Failure domain of a control replica that accepts `DomainSums`,
            else empty. A process of an earlier version ends a link that carries them.
    """

    node: str
    incarnation: int
    failure_domain: str = ""


AnyMessage: TypeAlias = (
    Hello
    | SlotStatus
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
    | QueryReply
    | Leaving
    | Subscribe
    | Snapshot
    | Delta
    | Current
    | InForce
    | Registered
    | Expired
    | Left
    | Evacuated
    | Replicas
    | LoadReport
    | LoadTotals
    | DomainSums
    | PartInterest
    | CacheChanges
    | Crashes
    | Versions
    | StreamsBegan
    | FindStream
    | StreamFound
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
    | ConnectionRows
)
