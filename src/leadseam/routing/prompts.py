"""An entry's guess of which prompt parts each engine still holds. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.routing.dialect import PromptPart

REMEMBERED: Millis = 20_000
"""How long a part is taken to be held after it was sent; engines drop what was unused
longest, so parts in steady use stay."""
MAX_PARTS = 50_000
"""Rows remembered: about 6 MB."""


class PromptBook:
    """Parts that this entry has sent to each engine."""

    def __init__(self) -> None:
        self._sent: OrderedDict[tuple[str, str], Millis] = OrderedDict()

    def __repr__(self) -> str:
        return f"PromptBook(rows={len(self._sent)})"

    def sent(self, instance: str, parts: tuple[PromptPart, ...], now: Millis) -> None:
        """Note a prompt that an engine has read."""
        for part in parts:
            key = (instance, part.identity)
            self._sent[key] = now
            self._sent.move_to_end(key)
        while len(self._sent) > MAX_PARTS:
            self._sent.popitem(last=False)

    def unread(
        self, instance: str, parts: tuple[PromptPart, ...], now: Millis, *, home: bool
    ) -> tuple[int, int]:
        """Return the tokens that an engine would have to read.

        Args:
            instance: The engine.
            parts: The prompt.
            now: Current time.
            home: Whether all entries prefer this engine for the prompt, so that the
                shared parts are taken to be there.

        Returns:
            All tokens to be read, and those of shared parts among them.
        """
        total = 0
        shared = 0
        held = True
        for position, part in enumerate(parts):
            last = position == len(parts) - 1
            known = self._holds(instance, part, now) or (home and not last)
            held = held and known
            if not held:
                total += part.tokens
                shared += 0 if last else part.tokens
        return total, shared

    def _holds(self, instance: str, part: PromptPart, now: Millis) -> bool:
        at = self._sent.get((instance, part.identity))
        return at is not None and now - at < REMEMBERED
