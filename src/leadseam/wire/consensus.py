"""Messages between control replicas: elections, the log, and forwarded commands."""

from __future__ import annotations

from leadseam.wire.record import Message, Record


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
    """A replica on a new disk asks the leader to take it in.

    Args:
        sender: The replica.
        forwarded: Whether a follower has forwarded it; this is done once.
    """

    sender: str
    forwarded: bool = False


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
