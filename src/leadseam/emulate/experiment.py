"""Simulates variants of a fleet with the same seeds and compares the results."""

from __future__ import annotations

from dataclasses import dataclass
from math import sqrt
from statistics import mean, stdev
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND
from leadseam.emulate.fleet import simulate_fleet
from leadseam.emulate.settings import expand_variants

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from leadseam.emulate.settings import Experiment, FleetSettings

STUDENT_T_95 = (12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26)
"""Student's t factors for the 95% confidence interval of a mean of 2 to 10 values.

For more values the factor is taken as 2.
"""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Results of one simulation.

    Args:
        worth: Fraction of the worth due to all accounts that was earned.
        worst: Mean of this fraction over the worst served tenth of accounts.
        refused: Fraction of the requests that were refused after their retry.
        begun: Tokens of service begun per second.
        busy: Mean fraction of the engines' slots in use.
    """

    worth: float
    worst: float
    refused: float
    begun: float
    busy: float


@dataclass(frozen=True, slots=True)
class VariantOutcomes:
    """Results of a variant, in the order of the seeds."""

    name: str
    outcomes: tuple[Outcome, ...]


def run_experiment(experiment: Experiment, name: str) -> list[VariantOutcomes]:
    """Simulate the base fleet and then every variant, each with every seed.

    Args:
        experiment: The base fleet, its variants and the seeds.
        name: Name of the experiment's file, for error messages.

    Raises:
        SettingsError: If a variant is not a valid fleet.
    """
    fleets = expand_variants(experiment.fleet, experiment.variants, name)
    return [
        VariantOutcomes(variant, tuple(outcome(cfg, seed) for seed in experiment.seeds))
        for variant, cfg in fleets.items()
    ]


def outcome(cfg: FleetSettings, seed: int) -> Outcome:
    """Simulate a fleet with one seed and return the results."""
    fleet = simulate_fleet(cfg, seed=seed)
    tally = fleet.tally
    span = cfg.span / MILLIS_PER_SECOND
    capacity = round(cfg.stated * span)
    slots = cfg.engines * cfg.engine.slots
    return Outcome(
        worth=tally.worth(capacity),
        worst=tally.worst(capacity),
        refused=tally.ends["refused"] / max(tally.ends.total(), 1),
        begun=sum(tally.begun.values()) / span,
        busy=sum(one.busy_ms for one in fleet.engines.values()) / cfg.span / slots,
    )


def confidence_half_width(values: Sequence[float]) -> float:
    """Return half the width of the mean's 95% confidence interval; 0 for one value."""
    if len(values) < 2:
        return 0.0
    position = len(values) - 2
    factor = STUDENT_T_95[position] if position < len(STUDENT_T_95) else 2.0
    return factor * stdev(values) / sqrt(len(values))


def render(results: Iterable[VariantOutcomes]) -> str:
    """Return the comparison as a table.

    Differences from the base fleet are taken between simulations with the same seed.
    """
    rows = list(results)
    base_worths = [one.worth for one in rows[0].outcomes]
    lines = [f"{'':24}   worth  against as given   worst  refused  begun/s   busy"]
    for row in rows:
        pairs = zip(row.outcomes, base_worths, strict=True)
        gains = [one.worth - base_worth for one, base_worth in pairs]
        lines.append(
            f"{row.name:24}   {mean(one.worth for one in row.outcomes):.3f}"
            f"   {mean(gains):+.3f} +- {confidence_half_width(gains):.3f}"
            f"   {mean(one.worst for one in row.outcomes):.3f}"
            f"    {mean(one.refused for one in row.outcomes):.3f}"
            f"  {mean(one.begun for one in row.outcomes):7.0f}"
            f"   {mean(one.busy for one in row.outcomes):.3f}"
        )
    return "\n".join(lines)
