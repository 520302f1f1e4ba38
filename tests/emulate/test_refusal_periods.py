"""Periods in which some engines of a fleet refuse all requests and ask for pauses."""

from __future__ import annotations

import msgspec

from leadseam.emulate.experiment import outcome
from leadseam.emulate.fleet import simulate_fleet
from leadseam.emulate.settings import EngineSpeed, FleetSettings, RefusalPeriod
from tests.emulate.test_shares import KINDS

ENGINE = EngineSpeed(
    slots=64, read_per_ms=157, step_ms=3.55, memory_tokens=838_546, parts_kept=200
)
FLEET = FleetSettings(
    kinds=KINDS,
    accounts=20,
    span=6_000,
    entries=22,
    engines=20,
    rate=500,
    stated=900_000,
    engine=ENGINE,
)
REFUSAL_PERIOD = RefusalPeriod(engines=8, at=1_000, span=4_000, pause=3_000)


def test_little_worth_is_lost_while_two_fifths_of_the_engines_refuse() -> None:
    undisturbed = outcome(FLEET, 1)
    refusing = outcome(msgspec.structs.replace(FLEET, spells=(REFUSAL_PERIOD,)), 1)
    # If the refusing engines stayed the homes of their prompts, 0.06 would be lost.
    assert refusing.worth > undisturbed.worth - 0.02


def test_each_entry_sends_to_a_refusing_engine_once_per_pause() -> None:
    fleet = simulate_fleet(
        msgspec.structs.replace(FLEET, spells=(REFUSAL_PERIOD,)), seed=1
    )
    # Two pauses of 3 s begin in the 4 s. A few requests are already on their way when
    # an entry is asked to pause.
    allowed_requests = FLEET.entries * REFUSAL_PERIOD.engines * 2
    assert 0 < fleet.tally.ends["turned away"] < 1.2 * allowed_requests
