"""What was disturbed when, so that promises are asked only of those that keep them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(slots=True)
class Span:
    """A disturbance.

    Args:
        target: Box that it touches; empty for all.
        start: When it began, on the steady clock.
        planned: Whether it is planned work, such as a stop on request.
        end: When it was over; None while it lasts.
    """

    target: str
    start: float
    planned: bool
    end: float | None = None


@dataclass
class Ledger:
    """Disturbances of a run."""

    spans: list[Span] = field(default_factory=list)

    def begin(self, target: str, *, planned: bool = False) -> Span:
        """Note that a disturbance begins."""
        span = Span(target, time.monotonic(), planned)
        self.spans.append(span)
        return span

    def end(self, span: Span) -> None:
        """Note that it is over."""
        span.end = time.monotonic()

    def planned_work_began(self, box: str, start: float, end: float) -> bool:
        """Tell whether planned work on a box began in a span of time.

        Args:
            box: The box.
            start: Begin of the span, on the steady clock.
            end: End of the span.
        """
        return any(
            span.planned and span.target == box and start <= span.start <= end
            for span in self.spans
        )

    def touched(
        self, box: str, start: float, end: float, *, planned: bool = True
    ) -> bool:
        """Tell whether a box was disturbed in a span of time.

        Args:
            box: The box.
            start: Begin of the span, on the steady clock.
            end: End of the span.
            planned: Whether planned work counts. Defaults to True.
        """
        return any(
            span.target in ("", box)
            and span.start <= end
            and (span.end is None or span.end >= start)
            and (planned or not span.planned)
            for span in self.spans
        )
