"""Simulated crashes of upstreams, at sizes too large to test with real processes."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest

from leadseam.cli import emulate
from leadseam.emulate.crash_settings import CrashExperiment, CrashFleet
from leadseam.emulate.crashes import CrashSimulation, CrashTally, render
from leadseam.emulate.settings import expand_variants
from leadseam.errors import SettingsError
from leadseam.settings.load import load_settings, parse_settings

if TYPE_CHECKING:
    from collections.abc import Callable

EXAMPLE = Path("examples/crashes.yaml")


def test_one_deadly_caller_crashes_three_upstreams_before_all_entries_refuse_it() -> (
    None
):
    tally = CrashSimulation(CrashFleet(deadly=1), seed=1).run()
    assert tally.crashes == 3
    assert 0 < tally.known_after < 2_000
    assert (tally.convicted, tally.answered) == (0, tally.good)


def test_a_request_that_crashes_late_crashes_four_upstreams() -> None:
    tally = CrashSimulation(CrashFleet(deadly=1, deadly_after=1_000), seed=1).run()
    assert (tally.crashes, tally.convicted) == (4, 0)


@pytest.mark.parametrize(
    ("seed", "alike", "weighed"), [(1, 22, 6), (2, 25, 7), (3, 33, 3)]
)
def test_few_are_refused_where_upstreams_crash_by_themselves(
    seed: int, alike: int, weighed: int
) -> None:
    """There are some 2,400 requests, and 15% of the upstreams crash each second."""
    for cfg, convicted in (
        (CrashFleet(rate=40, mass=0.15, alike=True), alike),
        (CrashFleet(rate=40, mass=0.15), weighed),
    ):
        tally = CrashSimulation(cfg, seed=seed).run()
        assert tally.by_themselves > 90
        assert tally.convicted == convicted


def test_nobody_is_refused_where_one_in_fifty_crashes_each_second() -> None:
    tally = CrashSimulation(CrashFleet(deadly=1, mass=0.02), seed=1).run()
    assert (tally.crashes, tally.convicted) == (3, 0)
    assert tally.answered == tally.good


def test_each_good_request_is_counted_once() -> None:
    tally = CrashSimulation(CrashFleet(deadly=2, mass=0.1, rate=40), seed=4).run()
    assert tally.hit_answered <= tally.hit <= tally.good
    assert tally.answered + tally.convicted <= tally.good


def test_a_seed_gives_the_same_simulation() -> None:
    cfg = CrashFleet(deadly=2, mass=0.1, rate=40)
    assert CrashSimulation(cfg, seed=5).run() == CrashSimulation(cfg, seed=5).run()


def test_render_sums_the_simulations_of_a_variant() -> None:
    one = CrashTally(3, 0, 400, 100, 99, 10, 9, 0, 1, 50)
    other = CrashTally(4, 2, 300, 100, 100, 10, 10, 1, 0, 60)
    assert render("x", [one, other]) == (
        "| x | 2 | 4 | 400 | 200 | 199 | 20 | 0.9500 | 1 | 1 | 110 | 0 | 0 |"
    )


def test_the_example_is_valid() -> None:
    experiment = load_settings(EXAMPLE, CrashExperiment)
    fleets = expand_variants(experiment.crashes, experiment.variants, str(EXAMPLE))
    assert fleets["347 entries"].entries == 347


def test_an_invalid_variant_is_named_in_the_error() -> None:
    data = {"crashes": {}, "variants": {"none": {"upstreams": 0}}}
    experiment = parse_settings(data, CrashExperiment, "x.yaml")
    with pytest.raises(SettingsError, match=r"x.yaml: variant none: \$.upstreams"):
        expand_variants(experiment.crashes, experiment.variants, "x.yaml")


def test_the_command_prints_a_table(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    path = tmp_path / "crashes.yaml"
    path.write_text("crashes: {deadly: 1, span: 5000}\n")
    run(monkeypatch, lambda: emulate.main(), "--crashes", str(path))
    assert "| as given | 0 | 3 |" in capsys.readouterr().out
    run(monkeypatch, lambda: emulate.main(), "--check", "--crashes", str(EXAMPLE))
    assert capsys.readouterr().out == ""


def run(monkeypatch: pytest.MonkeyPatch, main: Callable[[], None], *args: str) -> None:
    monkeypatch.setattr(sys, "argv", ["leadseam-emulate", *args])
    main()
