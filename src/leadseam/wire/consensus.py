"""Messages between control replicas: elections, log replication, forwarded commands."""

from __future__ import annotations

from leadseam.wire.record import Message, Record


class LogEntry(Record, frozen=True, array_like=True):
    """One entry of the replicated log.

    Args:
        term: Term in which it was appended.
        index: Its index.
        kind: A `raft.EntryKind` value.
        data: Its content.
    """

    term: int
    index: int
    kind: int
    data: bytes


class PreVote(Message, frozen=True, array_like=True, tag=50):
    """Asks whether a vote would be granted in `term`; the reply is not binding."""

    sender: str
    term: int
    last_index: int
    last_term: int


class PreVoteReply(Message, frozen=True, array_like=True, tag=51):
    """Reply to `PreVote`; `term` is the requested term."""

    sender: str
    term: int
    granted: bool


class Vote(Message, frozen=True, array_like=True, tag=52):
    """Requests a vote."""

    sender: str
    term: int
    last_index: int
    last_term: int


class VoteReply(Message, frozen=True, array_like=True, tag=53):
    """Reply to `Vote`."""

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
        sent: The leader's clock, echoed in the reply.
        echo: The follower's clock from its last reply; -1 if the leader has no lease.
        silent: Members that do not answer the leader, and for how many milliseconds.
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
    """Reply to `Append` or `Install`.

    Args:
        sender: The follower.
        term: Its term.
        success: Whether the entries follow the follower's log.
        match: Last index known to match, or a hint for the next attempt.
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
    """A complete snapshot for a follower that is too far behind."""

    sender: str
    term: int
    index: int
    index_term: int
    voters: tuple[str, ...]
    learners: tuple[str, ...]
    data: bytes
    sent: int


class Join(Message, frozen=True, array_like=True, tag=57):
    """Request of a replica with a new disk to become a member of the group.

    Args:
        sender: The replica.
        forwarded: Whether a follower has forwarded it, which happens at most once.
    """

    sender: str
    forwarded: bool = False


class Forward(Message, frozen=True, array_like=True, tag=58):
    """A command that a follower forwards to the leader.

    Args:
        sender: The follower.
        ticket: Number that the reply repeats.
        data: The command.
    """

    sender: str
    ticket: int
    data: bytes


class ForwardReply(Message, frozen=True, array_like=True, tag=59):
    """Outcome of a forwarded command; `data` is empty if there was no quorum."""

    ticket: int
    data: bytes
