"""How far each member of the group has followed its leader. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.wire.consensus import AppendReply

RESEND_AFTER: Millis = 240
"""Time after which what was sent and not answered is sent again: two heartbeats."""


@dataclass(slots=True)
class Progress:
    """What one member holds, and what is on its way to it.

    Args:
        next_index: Index that it is sent next.
        match: Last index known to match the leader's log.
        acked_sent: Leader's clock at the newest request that it has answered.
        echo: Its own clock in its newest answer.
        in_flight: Whether entries or a snapshot are on their way.
        sent_at: When they were sent.
    """

    next_index: int
    match: int = 0
    acked_sent: Millis = -1
    echo: Millis = -1
    in_flight: bool = False
    sent_at: Millis = -1

    def awaits_answer(self, now: Millis) -> bool:
        """Tell whether an answer to what was sent may still come."""
        return self.in_flight and now - self.sent_at < RESEND_AFTER

    def sent(self, now: Millis) -> None:
        """Note that entries or a snapshot were sent."""
        self.in_flight = True
        self.sent_at = now

    def answered(self, message: AppendReply) -> None:
        """Note any answer."""
        self.acked_sent = max(self.acked_sent, message.sent)
        self.echo = max(self.echo, message.clock)

    def matched(self, match: int) -> None:
        """Note that the log matches up to an index."""
        if match > self.match:
            self.match = match
            self.in_flight = False
        self.next_index = max(self.next_index, self.match + 1)

    def refused(self, hint: int) -> None:
        """Note that what was sent did not fit, and where it may fit."""
        self.in_flight = False
        self.next_index = max(self.match + 1, min(hint + 1, self.next_index - 1))


class Followers(dict[str, Progress]):
    """Progress of all members by identity, the leader's own included."""

    def sync(self, members: Collection[str], next_index: int) -> None:
        """Follow these members and no others.

        Args:
            members: Identities of the whole group.
            next_index: Index that a new one is sent first.
        """
        for name in members:
            if name not in self:
                self[name] = Progress(next_index)
        for name in set(self).difference(members):
            del self[name]

    def quorum_match(self, voters: Iterable[str]) -> int:
        """Return the highest index that a quorum of the voters holds."""
        return _quorum_value(self[name].match for name in voters)

    def quorum_ack(self, voters: Iterable[str], leader: str, now: Millis) -> Millis:
        """Return the send time of the newest request that a quorum answered."""
        return _quorum_value(
            now if name == leader else self[name].acked_sent for name in voters
        )


def _quorum_value(values: Iterable[int]) -> int:
    """Return the greatest value that more than half of all reach."""
    ordered = sorted(values, reverse=True)
    return ordered[len(ordered) // 2]
