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
        self._prefill_free_at = 0.0
        self._cached_parts: OrderedDict[str, None] = OrderedDict()
        self._loop = asyncio.get_running_loop()

    def __repr__(self) -> str:
        return f"Engine({self.row.instance}, running={self._running})"

    def submit(self, run: Run) -> bool:
        """Take a request; return False if the queue is full."""
        if self._running < self._speed.slots:
            self._start(run)
            return True
        if len(self._queue) >= MAX_QUEUED:
            return False
        self._queue.append(run)
        return True

    def _start(self, run: Run) -> None:
        self._running += 1
        now = self._loop.time()
        prefill_ms = self._prefill(run.req) / self._speed.read_per_ms
        prefill_end = max(now, self._prefill_free_at) + millis_to_seconds(prefill_ms)
        self._prefill_free_at = prefill_end
        self._loop.call_at(
            prefill_end + millis_to_seconds(self._speed.step_ms), run.on_first
        )
        decode_end = prefill_end + millis_to_seconds(self._speed.step_ms * run.made)
        self.busy_ms += (decode_end - now) * MILLIS_PER_SECOND
        self._loop.call_at(decode_end, self._finish, run)

    def _finish(self, run: Run) -> None:
        self._running -= 1
        if self._queue:
            self._start(self._queue.popleft())
        run.on_end()

    def _prefill(self, req: RoutedRequest) -> int:
        """Return the prompt tokens to be read, and keep the parts."""
        unread = 0
        prefix_cached = True
        for part in req.parts:
            prefix_cached = prefix_cached and part.identity in self._cached_parts
            unread += 0 if prefix_cached else part.tokens
            self._cached_parts[part.identity] = None
            self._cached_parts.move_to_end(part.identity)
        while len(self._cached_parts) > self._speed.parts_kept:
            self._cached_parts.popitem(last=False)
        self.tokens_read += unread
        return unread


def millis_to_seconds(millis: float) -> float:
    """Return a span of fractional milliseconds in seconds."""
    return millis / MILLIS_PER_SECOND


def call_after(delay: Millis, call: Callable[[], None]) -> None:
    """Call something after a delay of the running loop."""
    asyncio.get_running_loop().call_later(seconds(delay), call)
