"""A model of an engine: slots, one reader of prompts, a queue, steps of a batch.

Left out: memory that runs short, steps that take longer in a full batch, faults.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND, seconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Millis
    from leadseam.emulate.settings import EngineSpeed
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.wire.feed import Registration

MAX_QUEUED = 25
"""Requests that wait for a slot; more are refused."""


@dataclass(slots=True)
class Run:
    """A request at an engine.

    Args:
        req: The request.
        made: Tokens that it makes.
        on_first: Called with its first token.
        on_end: Called at its end.
    """

    req: RoutedRequest
    made: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]


class Engine:
    """One emulated engine.

    Args:
        row: Its registration.
        speed: How fast it is.

    Attributes:
        tokens_read: Prompt tokens read so far.
        busy_ms: Milliseconds that slots were in use, added up.
    """

    def __init__(self, row: Registration, speed: EngineSpeed) -> None:
        self.row = row
        self.tokens_read = 0
        self.busy_ms = 0.0
        self._speed = speed
        self._running = 0
        self._queue: deque[Run] = deque()
        self._reader_free = 0.0
        self._parts: OrderedDict[str, None] = OrderedDict()
        self._loop = asyncio.get_running_loop()

    def __repr__(self) -> str:
        return f"Engine({self.row.instance}, running={self._running})"

    def take(self, run: Run) -> bool:
        """Take a request; return False if the queue is full."""
        if self._running < self._speed.slots:
            self._begin(run)
            return True
        if len(self._queue) >= MAX_QUEUED:
            return False
        self._queue.append(run)
        return True

    def _begin(self, run: Run) -> None:
        self._running += 1
        now = self._loop.time()
        reading = self._read(run.req) / self._speed.read_per_ms
        first = max(now, self._reader_free) + seconds_of(reading)
        self._reader_free = first
        self._loop.call_at(first + seconds_of(self._speed.step_ms), run.on_first)
        last = first + seconds_of(self._speed.step_ms * run.made)
        self.busy_ms += (last - now) * MILLIS_PER_SECOND
        self._loop.call_at(last, self._end, run)

    def _end(self, run: Run) -> None:
        self._running -= 1
        if self._queue:
            self._begin(self._queue.popleft())
        run.on_end()

    def _read(self, req: RoutedRequest) -> int:
        """Return the prompt tokens to be read, and keep the parts."""
        unread = 0
        held = True
        for part in req.parts:
            held = held and part.identity in self._parts
            unread += 0 if held else part.tokens
            self._parts[part.identity] = None
            self._parts.move_to_end(part.identity)
        while len(self._parts) > self._speed.parts_kept:
            self._parts.popitem(last=False)
        self.tokens_read += unread
        return unread


def seconds_of(millis: float) -> float:
    """Return a span of fractional milliseconds in seconds."""
    return millis / MILLIS_PER_SECOND


def later(delay: Millis, call: Callable[[], None]) -> None:
    """Call something after a delay of the running loop."""
    asyncio.get_running_loop().call_later(seconds(delay), call)
