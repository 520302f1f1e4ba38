"""What the consensus core is in its term, hears, and asks its owner to do."""

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
    from leadseam.control.membership import Step
    from leadseam.control.raft_log import HardState, SnapshotMetadata
    from leadseam.wire.consensus import LogEntry

TermMessage: TypeAlias = Vote | VoteReply | Append | AppendReply | Install
"""A message that belongs to a term: a higher one makes its receiver enter it."""
RaftMessage: TypeAlias = PreVote | PreVoteReply | Join | TermMessage


class Role(StrEnum):
    """What a replica is in its term."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True)
class Ready:
    """Work that the owner must do, in this order.

    Args:
        snapshot: A snapshot to store and restore from, with its data, or None.
        hard_state: State to persist, or None if unchanged.
        append: Entries to persist; the first may overwrite existing indexes.
        send: Messages to send once all of the above is synced.
        commit: Entries to apply, in order.
        steps: Changes of the group that were proposed, for the logs.
    """

    snapshot: tuple[SnapshotMetadata, bytes] | None
    hard_state: HardState | None
    append: tuple[LogEntry, ...]
    send: tuple[tuple[str, RaftMessage], ...]
    commit: tuple[LogEntry, ...]
    steps: tuple[Step, ...] = ()


@dataclass(slots=True)
class Pending:
    """Work that has gathered since the owner last took it; see `Ready`."""

    snapshot: tuple[SnapshotMetadata, bytes] | None = None
    hard_state: bool = False
    append_from: int | None = None
    send: list[tuple[str, RaftMessage]] = field(default_factory=list)
    steps: list[Step] = field(default_factory=list)
