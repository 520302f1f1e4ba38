"""Estimates which prompt parts each engine still holds. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.routing.dialect import PromptPart

RETENTION: Millis = 20_000
"""Time for which an engine is assumed to hold a part that was sent to it. Engines evict
the least recently used parts, so parts in steady use stay."""
MAX_KEPT_PARTS = 20_000
"""Maximum parts kept over all engines: 5 to 8 MB, as most are held by one or two."""
MAX_IDENTITY = 64
"""Longest identity of a part that is kept as it is. Callers write identities, and a
header may hold one of its whole size."""


class PromptTable:
    """Prompt parts that this entry has sent, and the engines that received them.

    Args:
        retention: Time for which an engine is assumed to hold a part.
    """

    def __init__(self, retention: Millis = RETENTION) -> None:
        self._retention = retention
        # Keyed by part and not by engine: each request looks up the holders of a part,
        # so that the other engines can be skipped.
        self._sent: OrderedDict[str, dict[Incarnation, Millis]] = OrderedDict()

    def __repr__(self) -> str:
        return f"PromptTable(parts={len(self._sent)})"

    def sent(
        self, incarnation: Incarnation, parts: tuple[PromptPart, ...], now: Millis
    ) -> None:
        """Record the parts of a prompt that an engine has read."""
        for part in parts:
            key = _key(part.identity)
            self._sent.setdefault(key, {})[incarnation] = now
            self._sent.move_to_end(key)
        while len(self._sent) > MAX_KEPT_PARTS:
            self._sent.popitem(last=False)

    def holders(self, identity: str, now: Millis) -> frozenset[Incarnation]:
        """Return the engines that are assumed to hold a part."""
        sent = self._sent.get(_key(identity))
        if sent is None:
            return frozenset()
        old = [one for one, at in sent.items() if now - at >= self._retention]
        for incarnation in old:
            del sent[incarnation]
        return frozenset(sent)

    def unread(
        self,
        incarnation: Incarnation,
        parts: tuple[PromptPart, ...],
        now: Millis,
        *,
        home: bool,
    ) -> tuple[int, int]:
        """Return the tokens that an engine would have to read.

        Args:
            incarnation: The engine.
            parts: The prompt.
            now: Current time.
            home: Whether all entries prefer this engine for the prompt, so that it is
                assumed to hold the shared parts.

        Returns:
            The number of tokens to read, and how many of them are in shared parts.
        """
        total = 0
        shared = 0
        held = True
        for position, part in enumerate(parts):
            last = position == len(parts) - 1
            held = held and ((home and not last) or self.holds(incarnation, part, now))
            if not held:
                total += part.tokens
                shared += 0 if last else part.tokens
        return total, shared

    def holds(self, incarnation: Incarnation, part: PromptPart, now: Millis) -> bool:
        """Return whether an engine is assumed to hold a part."""
        sent = self._sent.get(_key(part.identity))
        at = sent.get(incarnation) if sent is not None else None
        return at is not None and now - at < self._retention


def _key(identity: str) -> str:
    """Return the key of a part, which is bounded in length."""
    if len(identity) <= MAX_IDENTITY:
        return identity
    return xxhash.xxh3_128_hexdigest(identity.encode())
