"""What was disturbed when, so that promises are asked only of those that keep them."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(slots=True)
class Disturbance:
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
class DisturbanceLog:
    """Disturbances of a run."""

    entries: list[Disturbance] = field(default_factory=list)

    def begin(self, target: str, *, planned: bool = False) -> Disturbance:
        """Note that a disturbance begins."""
        disturbance = Disturbance(target, time.monotonic(), planned)
        self.entries.append(disturbance)
        return disturbance

    def end(self, disturbance: Disturbance) -> None:
        """Note that it is over."""
        disturbance.end = time.monotonic()

    def planned_work_began(self, box: str, start: float, end: float) -> bool:
        """Tell whether planned work on a box began in a span of time.

        Args:
            box: The box.
            start: Begin of the span, on the steady clock.
            end: End of the span.
        """
        return any(
            disturbance.planned
            and disturbance.target == box
            and start <= disturbance.start <= end
            for disturbance in self.entries
        )

    def was_disturbed(
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
            disturbance.target in ("", box)
            and disturbance.start <= end
            and (disturbance.end is None or disturbance.end >= start)
            and (planned or not disturbance.planned)
            for disturbance in self.entries
        )
