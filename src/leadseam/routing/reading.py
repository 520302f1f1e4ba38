"""How far engines have come with the prompts that this entry sent them. No I/O.

An engine says nothing of a prompt before its first token. To count all of it until then
leaves the engine idle in between: what follows would be sent only once it has nothing
left to read.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.routing.placement import Placement

OVERDUE: Millis = 100
"""Delay of a first token from which its prompt counts as not begun: the engine is slow
or stands still. Above the spread of first tokens around what is expected."""


@dataclass(frozen=True, slots=True)
class Reading:
    """A prompt on its way through an engine.

    Args:
        tokens: What is read of it.
        begins: When the engine is expected to begin with it.
        rate: Tokens that it reads in a millisecond.
    """

    tokens: int
    begins: Millis
    rate: float

    def done(self, now: Millis) -> int:
        """Return the tokens that are expected to have been read by now."""
        done = round((now - self.begins) * self.rate)
        if done > self.tokens + OVERDUE * self.rate:
            return 0
        return min(max(done, 0), self.tokens)


class ReadingBook:
    """Prompts without a first token, by engine.

    Placements are told apart by identity: two equal ones may be in flight at a time.
    """

    def __init__(self) -> None:
        self._engines: dict[str, dict[int, Reading]] = {}

    def __repr__(self) -> str:
        return f"ReadingBook(engines={len(self._engines)})"

    def begin(self, placement: Placement, reading: Reading) -> None:
        """Note a prompt that is sent."""
        engine = self._engines.setdefault(placement.upstream.instance, {})
        engine[id(placement)] = reading

    def end(self, placement: Placement) -> None:
        """Note a first token, or an end without one."""
        instance = placement.upstream.instance
        engine = self._engines.get(instance)
        if engine is None:
            return
        engine.pop(id(placement), None)
        if not engine:
            del self._engines[instance]

    def done(self, instance: str, now: Millis) -> int:
        """Return the tokens that an engine has read of prompts without a token."""
        engine = self._engines.get(instance)
        if engine is None:
            return 0
        return sum(reading.done(now) for reading in engine.values())
