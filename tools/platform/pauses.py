"""Counts the requests that reach a server from an entry during a requested pause."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tools.platform.standin import Server

SLACK = 0.5
"""Seconds after a refusal during which requests may still be in flight."""
MAX_ARRIVALS = 2
"""Requests that may reach a server during a pause: the limit that users set."""


@dataclass(frozen=True, slots=True)
class Pause:
    """A refusal with which a server asks for a pause.

    Args:
        at: When the refusal was sent, on the monotonic clock.
        length: Length of the pause in seconds.
        request_id: Identifier of the refused request.
        incarnation: Incarnation of the server that asks.
    """

    at: float
    length: float
    request_id: str
    incarnation: str

    def covers(self, arrival: Arrival) -> bool:
        """Return whether a request arrived during the pause, after the slack."""
        if arrival.incarnation != self.incarnation:
            return False
        return self.at + SLACK < arrival.at < self.at + self.length


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that has reached a server, whether or not it ran.

    Args:
        request_id: Identifier of the request.
        incarnation: Incarnation of the server.
        at: When the head was read, on the monotonic clock.
    """

    request_id: str
    incarnation: str
    at: float = field(default_factory=time.monotonic)


@dataclass(frozen=True, slots=True)
class PauseArrivals:
    """Requests that reached a server during one of its pauses.

    Args:
        entry: Entry that sent them.
        count: Number of requests.
        pause: The pause, or None if there were no such requests.
    """

    entry: str
    count: int
    pause: Pause | None


def max_arrivals_in_pause(server: Server, entry_of: Mapping[str, str]) -> PauseArrivals:
    """Return the most arrivals from one entry during a pause requested of that entry.

    Args:
        server: Server that asked for the pauses.
        entry_of: Entry that each request was sent to, by request identifier.

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
