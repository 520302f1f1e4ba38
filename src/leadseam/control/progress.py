"""Replication progress of the group's members, as tracked by the leader. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.wire.consensus import AppendReply

RESEND_AFTER: Millis = 240
"""Time after which unanswered entries or snapshots are sent again: two heartbeats."""


@dataclass(slots=True)
class Progress:
    """Replication progress of one member.

    Args:
        next_index: Index of the next entry to send to the member.
        match: Last index known to match the leader's log.
        acked_sent: Leader's clock when it sent the newest request that was answered.
        echo: Member's clock in its newest answer.
        in_flight: Whether entries or a snapshot are in flight.
        sent_at: Time at which they were sent.
    """

    next_index: int
    match: int = 0
    acked_sent: Millis = -1
    echo: Millis = -1
    in_flight: bool = False
    sent_at: Millis = -1

    def awaits_answer(self, now: Millis) -> bool:
        """Return whether an answer is still expected before a resend."""
        return self.in_flight and now - self.sent_at < RESEND_AFTER

    def sent(self, now: Millis) -> None:
        """Record that entries or a snapshot were sent."""
        self.in_flight = True
        self.sent_at = now

    def answered(self, message: AppendReply) -> None:
        """Record an answer, whether or not the entries were accepted."""
        self.acked_sent = max(self.acked_sent, message.sent)
        self.echo = max(self.echo, message.clock)

    def matched(self, match: int) -> None:
        """Record that the member's log matches the leader's up to an index."""
        if match > self.match:
            self.match = match
            self.in_flight = False
        self.next_index = max(self.next_index, self.match + 1)

    def refused(self, hint: int) -> None:
        """Record that entries were rejected, with a hint where the logs may match."""
        self.in_flight = False
        self.next_index = max(self.match + 1, min(hint + 1, self.next_index - 1))


class Followers(dict[str, Progress]):
    """Progress of all members by identity, including the leader itself."""

    def sync(self, members: Collection[str], next_index: int) -> None:
        """Add the progress of new members and remove that of former ones.

        Args:
            members: Identities of all current members.
            next_index: Index of the first entry to send to a new member.
        """
        for name in members:
            if name not in self:
                self[name] = Progress(next_index)
        for name in set(self).difference(members):
            del self[name]

    def quorum_match(self, voters: Iterable[str]) -> int:
        """Return the highest index that is replicated on a quorum of the voters."""
        return _quorum_value(self[name].match for name in voters)

    def quorum_ack(self, voters: Iterable[str], leader: str, now: Millis) -> Millis:
        """Return the send time of the newest request that a quorum has answered."""
        return _quorum_value(
            now if name == leader else self[name].acked_sent for name in voters
        )


def _quorum_value(values: Iterable[int]) -> int:
    """Return the greatest value that more than half of the values reach."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
