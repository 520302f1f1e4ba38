"""Log of disturbances, which excuses broken promises that a fault explains."""

from __future__ import annotations

import time
from dataclasses import dataclass, field


@dataclass(slots=True)
class Disturbance:
    """A period in which a box is disturbed by a fault or by planned work.

    Args:
        target: Address of the disturbed box; empty for all boxes.
        start: When it began, on the steady clock.
        planned: Whether it is planned work, such as a stop on request.
        end: When it ended; None while it lasts.
    """

    target: str
    start: float
    planned: bool
    end: float | None = None


@dataclass
class DisturbanceLog:
    """All disturbances of a run."""

    entries: list[Disturbance] = field(default_factory=list)

    def begin(self, target: str, *, planned: bool = False) -> Disturbance:
        """Record the begin of a disturbance."""
        disturbance = Disturbance(target, time.monotonic(), planned)
        self.entries.append(disturbance)
        return disturbance

    def end(self, disturbance: Disturbance) -> None:
        """Record the end of a disturbance."""
        disturbance.end = time.monotonic()

    def planned_work_began(self, box: str, start: float, end: float) -> bool:
        """Return whether planned work on a box began in a period.

        Args:
            box: Address of the box.
            start: Start of the period, on the steady clock.
            end: End of the period.
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
        """Return whether a box was disturbed in a period.

        Args:
            box: Address of the box.
            start: Start of the period, on the steady clock.
            end: End of the period.
            planned: Whether planned work counts as well. Defaults to True.
        """
        return any(
            disturbance.target in ("", box)
            and disturbance.start <= end
            and (disturbance.end is None or disturbance.end >= start)
            and (planned or not disturbance.planned)
            for disturbance in self.entries
        )
