"""An entry's guess of which prompt parts each engine still holds. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.incarnation import Incarnation
    from leadseam.routing.dialect import PromptPart

REMEMBERED: Millis = 20_000
"""How long a part is taken to be held after it was sent; engines drop what was unused
longest, so parts in steady use stay."""
MAX_PARTS = 20_000
"""Parts remembered, by any engine: 5 to 8 MB, as most are held by one or two."""


class PromptTable:
    """Parts that this entry has sent to each engine."""

    def __init__(self) -> None:
        # By part and not by engine: who holds a part is asked for each request, so that
        # the other engines need no look.
        self._sent: OrderedDict[str, dict[Incarnation, Millis]] = OrderedDict()

    def __repr__(self) -> str:
        return f"PromptTable(parts={len(self._sent)})"

    def sent(
        self, incarnation: Incarnation, parts: tuple[PromptPart, ...], now: Millis
    ) -> None:
        """Note a prompt that an engine has read."""
        for part in parts:
            self._sent.setdefault(part.identity, {})[incarnation] = now
            self._sent.move_to_end(part.identity)
        while len(self._sent) > MAX_PARTS:
            self._sent.popitem(last=False)

    def holders(self, identity: str, now: Millis) -> frozenset[Incarnation]:
        """Return the engines that are taken to hold a part."""
        sent = self._sent.get(identity)
        if sent is None:
            return frozenset()
        old = [one for one, at in sent.items() if now - at >= REMEMBERED]
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
            held = held and ((home and not last) or self._holds(incarnation, part, now))
            if not held:
                total += part.tokens
                shared += 0 if last else part.tokens
        return total, shared

    def _holds(self, incarnation: Incarnation, part: PromptPart, now: Millis) -> bool:
        sent = self._sent.get(part.identity)
        at = sent.get(incarnation) if sent is not None else None
        return at is not None and now - at < REMEMBERED
