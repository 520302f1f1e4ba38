"""Counts spoilt answers by upstream, to log each at a bounded rate. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

LINE_INTERVAL: Millis = 1_000
"""Least time between two lines about one upstream."""
MAX_UPSTREAMS = 1_000
"""Upstreams counted at the same time."""


@dataclass(slots=True)
class _Row:
    logged_at: Millis
    unlogged: int = 0


class SpoiltAnswers:
    """Spoilt answers of upstreams since the last line about each."""

    def __init__(self) -> None:
        self._rows: OrderedDict[str, _Row] = OrderedDict()

    def __repr__(self) -> str:
        return f"SpoiltAnswers(upstreams={len(self._rows)})"

    def record(self, instance: str, now: Millis) -> int:
        """Record a spoilt answer.

        Args:
            instance: The upstream.
            now: Current time.

        Returns:
            How many answers a line about the upstream has to state, or 0 if it has had
            one recently.
        """
        row = self._rows.get(instance)
        if row is not None and now - row.logged_at < LINE_INTERVAL:
            row.unlogged += 1
            return 0
        answers = 1 + (row.unlogged if row is not None else 0)
        self._rows[instance] = _Row(now)
        self._rows.move_to_end(instance)
        if len(self._rows) > MAX_UPSTREAMS:
            self._rows.popitem(last=False)
        return answers
