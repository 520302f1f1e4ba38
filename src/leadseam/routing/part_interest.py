"""Which shared prompt parts an entry wants to know the holders of. No I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.routing.part_holders import MIN_PART_TOKENS, part_digest

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.routing.dialect import PromptPart

SEND_INTERVAL: Millis = 1_000
"""Interval at which new interests are sent."""
REPEAT_INTERVAL: Millis = 10_000
"""Time after which an interest is sent again: a third of the time for which replicas
keep it, so that two lost messages do no harm."""
RETENTION: Millis = 30_000
"""Time since a part was last seen after which it is no longer of interest."""
MAX_PARTS = 4_000
"""Maximum parts of interest, about 1 MB. Deployments share several hundred."""


class PartInterestTable:
    """Shared parts of the prompts that this entry has seen recently."""

    def __init__(self) -> None:
        # Ordered by the time when a part was last seen.
        self._seen: dict[int, Millis] = {}
        self._sent: dict[int, Millis] = {}

    def __repr__(self) -> str:
        return f"PartInterestTable(parts={len(self._seen)})"

    def __len__(self) -> int:
        return len(self._seen)

    def saw(self, parts: tuple[PromptPart, ...], now: Millis) -> None:
        """Record the shared parts of a prompt: all but the last one."""
        for part in parts[:-1]:
            if part.tokens >= MIN_PART_TOKENS:
                digest = part_digest(part.identity)
                self._seen.pop(digest, None)
                self._seen[digest] = now
        while len(self._seen) > MAX_PARTS:
            self._forget(next(iter(self._seen)))

    def due(self, now: Millis) -> tuple[int, ...]:
        """Return the parts to send now: new ones, and others each `REPEAT_INTERVAL`.

        The caller sends them to all followed replicas, once each `SEND_INTERVAL`.
        """
        self._expire(now)
        due = tuple(part for part in self._seen if self._is_due(part, now))
        for part in due:
            self._sent[part] = now
        return due

    def current(self, now: Millis) -> tuple[int, ...]:
        """Return all parts of interest, for a replica that is newly followed."""
        self._expire(now)
        return tuple(self._seen)

    def _is_due(self, part: int, now: Millis) -> bool:
        sent = self._sent.get(part)
        return sent is None or now - sent >= REPEAT_INTERVAL

    def _expire(self, now: Millis) -> None:
        old = [part for part, at in self._seen.items() if now - at > RETENTION]
        for part in old:
            self._forget(part)

    def _forget(self, part: int) -> None:
        del self._seen[part]
        self._sent.pop(part, None)
