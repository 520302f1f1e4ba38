"""When verdicts are tried, so that a wrong one ends. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.incarnation import Incarnation
    from leadseam.wire.crashes import CrashRow

TRIAL_PAUSE: Millis = 300_000
"""Time from a verdict until a first request is sent in spite of it; each further pause
is twice as long. A trial costs an upstream if the verdict is right."""
GAP_RATIO = 4
"""Part of the first pause between two trials, in which the end of an upstream counts
against all that its request holds."""


@dataclass(slots=True)
class _Trial:
    """The next trial of a verdict.

    Args:
        ended: Upstreams that had ended when it was scheduled.
        due: When it is due.
        pause: Time from the last trial, or the verdict, to this one.
    """

    ended: tuple[Incarnation, ...]
    due: Millis
    pause: Millis

    def postpone(self, now: Millis) -> None:
        """Wait once more; for longer, if it was due."""
        if now >= self.due:
            self.pause *= 2
        self.due = now + self.pause


class TrialSchedule:
    """Chooses the verdict that is tried next.

    An answer to a trial lifts the verdict. The end of its upstream postpones all
    verdicts on what its request holds.

    Args:
        pause: Time from a verdict to its first trial.
    """

    def __init__(self, pause: Millis = TRIAL_PAUSE) -> None:
        self._pause = pause
        self._trials: dict[Fingerprint, _Trial] = {}
        self._next: Millis = 0

    def __repr__(self) -> str:
        return f"TrialSchedule(verdicts={len(self._trials)})"

    def due(self, verdicts: Iterable[CrashRow], now: Millis) -> Fingerprint | None:
        """Return what is to be tried now, or None; call it periodically.

        Args:
            verdicts: Rows of all that is convicted.
            now: Current time.
        """
        known, self._trials = self._trials, {}
        for row in verdicts:
            trial = known.get(row.fingerprint)
            if trial is None:
                trial = _Trial(row.ended, now + self._pause, self._pause)
            elif trial.ended != row.ended:
                trial.ended = row.ended
                trial.postpone(now)
            self._trials[row.fingerprint] = trial
        due = [one for one, trial in self._trials.items() if now >= trial.due]
        if not due or now < self._next:
            return None
        fingerprint = min(due, key=lambda one: self._trials[one].due)
        self._trials[fingerprint].postpone(now)
        self._next = now + self._pause // GAP_RATIO
        return fingerprint
