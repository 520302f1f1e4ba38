"""How long an engine will take to its first token, learned from its answers. No I/O."""

from __future__ import annotations

FIRST_RATE = 50.0
"""Prompt tokens a millisecond that are assumed before anything was measured."""
FIRST_BASE = 45.0
"""Milliseconds to a first token with nothing to read, assumed before a measurement."""
LEAST_UNREAD = 2_000
"""Tokens ahead below which an answer tells the base rather than the rate."""
WEIGHT = 0.05
"""Weight of a new measurement; some twenty answers change the estimate."""
MIN_RATE = 5.0
MAX_RATE = 500.0
"""Bounds on the rate, so that a few odd answers cannot close or flood an engine."""


class FirstTokenEstimate:
    """Rate and base of the engines of one pool."""

    def __init__(self) -> None:
        self.rate = FIRST_RATE
        self.base = FIRST_BASE

    def __repr__(self) -> str:
        return f"FirstTokenEstimate({self.rate:.0f} tokens/ms, {self.base:.0f} ms)"

    def millis(self, unread: int) -> float:
        """Return the expected time to the first token behind so many prompt tokens."""
        return self.base + unread / self.rate

    def measured(self, unread: int, millis: int) -> None:
        """Learn from an answer.

        Args:
            unread: Prompt tokens that were to be read when it was sent, its own
                included.
            millis: Time to its first token.
        """
        if unread < LEAST_UNREAD:
            self.base += WEIGHT * (millis - self.base)
            return
        reading = max(millis - self.base, 1.0)
        rate = min(max(unread / reading, MIN_RATE), MAX_RATE)
        # The mean of the inverse, for waiting times add up and rates do not.
        self.rate = 1 / (1 / self.rate + WEIGHT * (1 / rate - 1 / self.rate))
