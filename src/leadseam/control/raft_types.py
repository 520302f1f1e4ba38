"""Types of the Raft core: roles, messages, and the work that its owner has to do."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

from leadseam.wire.consensus import (
    Append,
    AppendReply,
    Install,
    Join,
    PreVote,
    PreVoteReply,
    Vote,
    VoteReply,
)

if TYPE_CHECKING:
    from leadseam.control.membership import MembershipChange
    from leadseam.control.raft_log import HardState, SnapshotMetadata
    from leadseam.wire.consensus import LogEntry

TermMessage: TypeAlias = Vote | VoteReply | Append | AppendReply | Install
"""A message that belongs to a term; its receiver enters that term if it is newer."""
RaftMessage: TypeAlias = PreVote | PreVoteReply | Join | TermMessage


class Role(StrEnum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Ready:
    """Work for the owner of the core, to be done in the order of the fields.

    Args:
        snapshot: Metadata and data of a snapshot to store and restore, or None.
        hard_state: State to persist, or None if unchanged.
        append: Entries to persist; they replace stored ones from the first index on.
        send: Receivers and messages, to be sent once all of the above is synced.
        commit: Committed entries to apply, in order.
        changes: Membership changes that were proposed, to be logged.
    """

    snapshot: tuple[SnapshotMetadata, bytes] | None
    hard_state: HardState | None
    append: tuple[LogEntry, ...]
    send: tuple[tuple[str, RaftMessage], ...]
    commit: tuple[LogEntry, ...]
    changes: tuple[MembershipChange, ...] = ()


@dataclass(slots=True)
class Pending:
    """Work that has accumulated since the owner last took it; see `Ready`."""

    snapshot: tuple[SnapshotMetadata, bytes] | None = None
    hard_state: bool = False
    append_from: int | None = None
    send: list[tuple[str, RaftMessage]] = field(default_factory=list)
    changes: list[MembershipChange] = field(default_factory=list)
