"""A model of an engine: slots, a queue, serial fetches and prefill, and decode steps.

Not modelled: memory shortage, decode steps that take longer in a full batch, faults.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND, seconds
from leadseam.control.routes import BITS_PER_BYTE, BITS_PER_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.clock import Millis
    from leadseam.emulate.settings import EngineSpeed
    from leadseam.routing.dialect import PromptPart, RoutedRequest
    from leadseam.wire.feed import Registration

DISTANT_FACTOR = 2
"""Factor of the time of a fetch from another failure domain."""
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
        source: Engine to fetch cached parts of the prompt from, or None.
    """

    req: RoutedRequest
    made: int
    on_first: Callable[[], None]
    on_end: Callable[[], None]
    source: Engine | None = None


class Engine:
    """An emulated engine.

    Args:
        row: Registration of the engine.
        speed: Slots and speeds of the engine.

    Attributes:
        prefilled_tokens: Number of prompt tokens prefilled so far.
        busy_ms: Milliseconds that slots were in use, summed over all slots.
        fetched_tokens: Number of prompt tokens fetched from other engines so far.
        idle_since: Time in seconds since when no request runs; infinite if one does.
    """

    def __init__(self, row: Registration, speed: EngineSpeed) -> None:
        self.row = row
        self.prefilled_tokens = 0
        self.busy_ms = 0.0
        self.fetched_tokens = 0
        self.idle_since = 0.0
        self._speed = speed
        self._running = 0
        self._queue: deque[Run] = deque()
        self._prefill_free_at = 0.0
        self._link_free_at = 0.0
        self._cached_parts: OrderedDict[str, int] = OrderedDict()
        self._changed_parts: set[str] = set()
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

    def take_cache_changes(self) -> dict[str, int]:
        """Return the tokens now cached of each part that changed since the last call.

        A part that is no longer cached has 0 tokens.
        """
        changes = {one: self._cached_parts.get(one, 0) for one in self._changed_parts}
        self._changed_parts.clear()
        return changes

    def _start(self, run: Run) -> None:
        self._running += 1
        self.idle_since = float("inf")
        now = self._loop.time()
        fetch_end = self._fetch(run, now)
        prefill_ms = self._prefill(run.req) / self._speed.read_per_ms
        prefill_start = max(fetch_end, self._prefill_free_at)
        prefill_end = prefill_start + millis_to_seconds(prefill_ms)
        self._prefill_free_at = prefill_end
        self._loop.call_at(
            prefill_end + millis_to_seconds(self._speed.step_ms), run.on_first
        )
        decode_end = prefill_end + millis_to_seconds(self._speed.step_ms * run.made)
        self.busy_ms += (decode_end - now) * MILLIS_PER_SECOND
        self._loop.call_at(decode_end, self._finish, run)

    def _finish(self, run: Run) -> None:
        self._running -= 1
        if not self._running:
            self.idle_since = self._loop.time()
        if self._queue:
            self._start(self._queue.popleft())
        run.on_end()

    def _fetch(self, run: Run, now: float) -> float:
        """Fetch and cache the parts that only the source holds; return when it ends.

        Links transfer one fetch after another, at the source and here. A fetch from
        another failure domain takes twice as long.
        """
        if run.source is None:
            return now
        parts = run.req.parts
        missing = parts[self._prefix_parts(run.req) : run.source._prefix_parts(run.req)]
        if not missing:
            return now
        tokens = sum(part.tokens for part in missing)
        self.fetched_tokens += tokens
        bits = tokens * self._speed.token_bytes * BITS_PER_BYTE
        fetch_ms = bits / (self._speed.link_mbps * BITS_PER_MS)
        if run.source.row.failure_domain != self.row.failure_domain:
            fetch_ms *= DISTANT_FACTOR
        start = max(now, self._link_free_at, run.source._link_free_at)
        end = start + millis_to_seconds(fetch_ms)
        self._link_free_at = run.source._link_free_at = end
        for part in missing:
            self._cache(part)
        return end

    def _prefix_parts(self, req: RoutedRequest) -> int:
        """Return the number of parts of a prompt that form its cached prefix."""
        for number, part in enumerate(req.parts):
            if part.identity not in self._cached_parts:
                return number
        return len(req.parts)

    def _cache(self, part: PromptPart) -> None:
        if part.identity not in self._cached_parts:
            self._changed_parts.add(part.identity)
        self._cached_parts[part.identity] = part.tokens
        self._cached_parts.move_to_end(part.identity)

    def _prefill(self, req: RoutedRequest) -> int:
        """Return the number of prompt tokens to prefill, and cache the prompt's parts.

        Only a prefix of cached parts is reused: from the first part that isn't cached
        on, all are prefilled. The cache evicts the least recently used parts.
        """
        uncached = req.parts[self._prefix_parts(req) :]
        uncached_tokens = sum(part.tokens for part in uncached)
        for part in req.parts:
            self._cache(part)
        while len(self._cached_parts) > self._speed.parts_kept:
            identity, _ = self._cached_parts.popitem(last=False)
            self._changed_parts.add(identity)
        self.prefilled_tokens += uncached_tokens
        return uncached_tokens


def millis_to_seconds(millis: float) -> float:
    """Convert milliseconds, which may be fractional, to seconds."""
    return millis / MILLIS_PER_SECOND


def call_after(delay: Millis, call: Callable[[], None]) -> None:
    """Schedule a call on the running event loop after a delay."""
    asyncio.get_running_loop().call_later(seconds(delay), call)
