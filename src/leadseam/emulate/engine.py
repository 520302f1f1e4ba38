"""A model of an engine: slots, a queue, serial prefill and decode steps.

Not modelled: memory shortage, decode steps that take longer in a full batch, faults.
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
"""Maximum number of requests that wait for a slot; further ones are refused."""


@dataclass(slots=True)
class Run:
    """A request that is queued or running at an engine.

    Args:
        req: The request.
        made: Number of output tokens that it generates.
        on_first: Called when the first token is generated.
        on_end: Called when the request completes.
    """

    req: RoutedRequest
    made: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]


class Engine:
    """An emulated engine.

    Args:
        row: Registration of the engine.
        speed: Slots and speeds of the engine.

    Attributes:
        prefilled_tokens: Number of prompt tokens prefilled so far.
        busy_ms: Milliseconds that slots were in use, summed over all slots.
    """

    def __init__(self, row: Registration, speed: EngineSpeed) -> None:
        self.row = row
        self.prefilled_tokens = 0
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
        """Start or queue a request; return False if the queue is full."""
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
        """Return the number of prompt tokens to prefill, and cache the prompt's parts.

        Only a prefix of cached parts is reused: from the first part that isn't cached
        on, all are prefilled. The cache evicts the least recently used parts.
        """
        uncached_tokens = 0
        prefix_cached = True
        for part in req.parts:
            prefix_cached = prefix_cached and part.identity in self._cached_parts
            uncached_tokens += 0 if prefix_cached else part.tokens
            self._cached_parts[part.identity] = None
            self._cached_parts.move_to_end(part.identity)
        while len(self._cached_parts) > self._speed.parts_kept:
            self._cached_parts.popitem(last=False)
        self.prefilled_tokens += uncached_tokens
        return uncached_tokens


def millis_to_seconds(millis: float) -> float:
    """Convert milliseconds, which may be fractional, to seconds."""
    return millis / MILLIS_PER_SECOND


def call_after(delay: Millis, call: Callable[[], None]) -> None:
    """Schedule a call on the running event loop after a delay."""
    asyncio.get_running_loop().call_later(seconds(delay), call)
