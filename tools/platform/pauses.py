"""Counts what reaches a server from an entry while it wants nothing from it."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.platform.standin import Server

SLACK = 0.5
"""Seconds after a refusal in which requests may still be on their way."""
MAX_ARRIVALS = 2
"""Requests that may reach a server while it rests: the users' bound."""


@dataclass(frozen=True, slots=True)
class Pause:
    """A refusal with which a server asks for a rest.

    Args:
        at: When it was sent, on the steady clock.
        length: Seconds for which nothing more is wanted.
        request_id: Request that was turned away.
        incarnation: Start of the server that asks.
    """

    at: float
    length: float
    request_id: str
    incarnation: str

    def covers(self, arrival: Arrival) -> bool:
        """Tell whether a request arrived where none was wanted."""
        if arrival.incarnation != self.incarnation:
            return False
        return self.at + SLACK < arrival.at < self.at + self.length


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached a server, run or not.

    Args:
        request_id: Its identifier.
        incarnation: Start of the server.
        at: When its head was read, on the steady clock.
    """

    request_id: str
    incarnation: str
    at: float = field(default_factory=time.monotonic)


@dataclass(frozen=True, slots=True)
class PauseArrivals:
    """Requests that reached a server in one of its rests.

    Args:
        entry: Entry that sent them.
        count: How many.
        rest: The rest.
    """

    entry: str
    count: int
    pause: Pause | None


def max_arrivals_in_pause(server: Server, entry_of: Mapping[str, str]) -> PauseArrivals:
    """Return the most arrivals from one entry in one rest that the entry was asked for.

    Args:
        server: The server.
        entry_of: Entry that each request was sent to.
    """
    worst = PauseArrivals("", 0, None)
    for pause in server.pauses:
        entry = entry_of.get(pause.request_id, "")
        count = sum(
            pause.covers(arrival) and entry_of.get(arrival.request_id) == entry
            for arrival in server.arrivals
        )
        if count > worst.count:
            worst = PauseArrivals(entry, count, pause)
    return worst
