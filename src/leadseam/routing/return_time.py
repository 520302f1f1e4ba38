"""When a refused caller should return, from the state of its account. No I/O.

A caller returns once, and a second refusal is final. A third of its time is too long
where capacity becomes free in a moment, and too short for an account that is not served
again before its recent service has decayed. With the decay of the received service
instead of the requested one, a tenth less service began in emulated floods.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import StrEnum
from math import log
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND, Millis
from leadseam.routing.usage import DECAY_TIME, Standing

if TYPE_CHECKING:
    import random

LONGEST_PART = 1 / 3
"""Longest pause as a part of the time left; callers ignore longer ones."""
LONGEST_PAUSE: Millis = 4_000
"""Longest pause: bursts last a few seconds."""
SHORTEST_PAUSE: Millis = 100
"""Shortest pause: two intervals of the sums, after which the state is known to have
changed."""
SPREAD = 0.5
"""Part of a pause by which it is extended at random, so that callers that were refused
together do not return together."""
RATE_TIME: Millis = MILLIS_PER_SECOND
"""Time over which placements are counted."""
SHORTEST_WAIT: Millis = 5
"""Time waited from which a request counts as a retry: a connection and a round trip."""
MAX_KEPT = 2_000
"""Placements kept for the rate; an entry places fewer in `RATE_TIME`."""


class Rule(StrEnum):
    """The rule that a pause follows, as it is named in metrics."""

    DECAY = "decay"
    QUEUE = "queue"
    TIME_LEFT = "time_left"


@dataclass(frozen=True, slots=True)
class ReturnTime:
    """A pause for a refused caller.

    Args:
        pause: The pause, already spread.
        rule: The rule that it follows.
    """

    pause: Millis
    rule: Rule


@dataclass(frozen=True, slots=True)
class AccountState:
    """What decides when the callers of an account should return.

    Args:
        standing: Standing of the account.
        requested: Service that it recently requested. While it floods, what it gets
            keeps its recent service near `served_at`, so that alone would be a pause
            after which most of its callers are refused again.
        served_at: Recent service at which it is served again.
        waiting_ahead: Waiting requests that go before those of the account.
        placed: Requests placed in the last `RATE_TIME`.
    """

    standing: Standing
    requested: int
    served_at: float
    waiting_ahead: int = 0
    placed: int = 0


@dataclass(slots=True)
class RecentPlacements:
    """Counts the requests placed in the last `RATE_TIME`."""

    _times: deque[Millis] = field(default_factory=lambda: deque(maxlen=MAX_KEPT))

    def add(self, now: Millis) -> None:
        """Count a placement."""
        self._times.append(now)

    def count(self, now: Millis) -> int:
        """Return the number of recent placements."""
        while self._times and now - self._times[0] >= RATE_TIME:
            self._times.popleft()
        return len(self._times)


def time_waited(time_limit: Millis, stated: Millis | None) -> Millis:
    """Return how long the caller of a request has waited before it sent this one.

    Args:
        time_limit: Time limit of the route, which a first request states.
        stated: Time that the request states, or None.

    Returns:
        Milliseconds; 0 for a first request.
    """
    waited = time_limit - stated if stated is not None else 0
    return waited if waited >= SHORTEST_WAIT else 0


def is_beyond_share(standing: Standing) -> bool:
    """Return whether requests of such an account may not wait for an engine."""
    return standing in (Standing.AHEAD, Standing.STOPPED)


def longest_pause(time_left: Millis | None) -> Millis:
    """Return the longest pause that helps a caller with so much time left.

    Args:
        time_left: Milliseconds, or None if the caller states no time.
    """
    if time_left is None:
        return LONGEST_PAUSE
    return min(round(max(time_left, 0) * LONGEST_PART), LONGEST_PAUSE)


def return_time(
    state: AccountState | None, time_left: Millis | None, rng: random.Random
) -> ReturnTime:
    """Return when a refused caller should return.

    Args:
        state: State of its account; None if that is unknown or outdated.
        time_left: Time that the caller has left, or None if it states none.
        rng: Source of random numbers, to spread pauses.
    """
    longest = longest_pause(time_left)
    if state is None:
        return ReturnTime(rng.randint(longest // 2, longest), Rule.TIME_LEFT)
    if is_beyond_share(state.standing):
        pause, rule = _decay_pause(state), Rule.DECAY
    else:
        pause, rule = _queue_pause(state, longest), Rule.QUEUE
    latest = min(max(pause, SHORTEST_PAUSE) * (1 + SPREAD), longest)
    return ReturnTime(rng.randint(round(latest / (1 + SPREAD)), round(latest)), rule)


def _decay_pause(state: AccountState) -> float:
    """Return the time in which its requested service decays to `served_at`."""
    ratio = state.requested / max(state.served_at, 1.0)
    return DECAY_TIME * log(max(ratio, 1.0))


def _queue_pause(state: AccountState, longest: Millis) -> float:
    """Return the time in which the requests ahead are placed at the present rate."""
    if not state.waiting_ahead:
        return 0.0
    if not state.placed:
        return longest
    return state.waiting_ahead * RATE_TIME / state.placed
