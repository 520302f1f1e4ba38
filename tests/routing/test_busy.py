"""Retry-After pauses of a busy entry.

Guards against pauses that are too short. On the day with two evacuations, callers of
one account used one entry that was busy for half a minute. Asked to retry within
150 ms, they returned to it and were refused again; this was the largest loss of the day
(0.086 of its worth).
"""

from __future__ import annotations

from leadseam.routing.busy import BUSY_GAP, LONGEST_PAUSE, SHORTEST_PAUSE, BusyPeriod


def test_the_first_refusal_has_the_shortest_pause() -> None:
    assert BusyPeriod().refused(10_000) == SHORTEST_PAUSE


def test_a_pause_is_as_long_as_the_entry_has_been_busy() -> None:
    period = BusyPeriod()
    pauses = [period.refused(now) for now in range(0, 6_000, 100)]
    assert pauses[:3] == [150, 150, 200]
    assert pauses[20] == 2_000
    assert pauses[-1] == LONGEST_PAUSE


def test_a_busy_period_ends_after_a_time_without_refusals() -> None:
    period = BusyPeriod()
    for now in range(0, 3_001, 100):
        period.refused(now)
    assert period.refused(3_000 + BUSY_GAP - 1) == 3_499
    assert period.refused(3_000 + 3 * BUSY_GAP) == SHORTEST_PAUSE


def served_of_a_burst(pause_of: object) -> int:
    """Return the number of callers served by an entry that is busy for three seconds.

    Each refused caller retries once, after the pause that it was given. The entry
    serves one request each 20 ms.
    """
    assert callable(pause_of)
    served = 0
    arrivals = sorted((now, 0) for now in range(0, 3_000, 5))
    free_at = 0
    while arrivals:
        now, tries = arrivals.pop(0)
        if now >= free_at:
            served += 1
            free_at = now + 20
        elif tries == 0:
            arrivals.append((now + pause_of(now), 1))
            arrivals.sort()
    return served


def test_more_callers_of_a_long_burst_are_served() -> None:
    period = BusyPeriod()
    short = served_of_a_burst(lambda _: SHORTEST_PAUSE)
    assert served_of_a_burst(period.refused) > 1.3 * short
