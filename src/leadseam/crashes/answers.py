"""Requests and prompt parts that upstreams have recently answered. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.crashes.fingerprint import Fingerprint

ANSWER_WEIGHS: Millis = 1_000
"""Time after an answer during which an end of another upstream does not count against
what was answered: a part in steady use is answered more often. What turns deadly is
recognized so much later."""
MAX_ANSWERS = 20_000
"""Fingerprints kept, some 3 MB: an entry's requests of a second have a few thousand."""


class RecentAnswers:
    """When an entry last saw an answer to each request and prompt part.

    Args:
        weighs: Time for which an answer weighs.
    """

    def __init__(self, weighs: Millis = ANSWER_WEIGHS) -> None:
        self._weighs = weighs
        self._answered: OrderedDict[Fingerprint, Millis] = OrderedDict()

    def __repr__(self) -> str:
        return f"RecentAnswers(fingerprints={len(self._answered)})"

    def add(self, fingerprint: Fingerprint, now: Millis) -> None:
        """Record an answer that shows that its upstream survives a fingerprint."""
        self._answered[fingerprint] = now
        self._answered.move_to_end(fingerprint)
        while self._answered:
            oldest, at = next(iter(self._answered.items()))
            if now - at <= self._weighs and len(self._answered) <= MAX_ANSWERS:
                break
            del self._answered[oldest]

    def excuse(self, fingerprint: Fingerprint, ended_at: Millis) -> bool:
        """Return whether an end at some time does not count against a fingerprint."""
        answered = self._answered.get(fingerprint)
        return answered is not None and ended_at - answered <= self._weighs
