"""Variants of an experiment, their comparison, and the command."""

from __future__ import annotations

import sys
from pathlib import Path

import pytest

from leadseam.cli import emulate
from leadseam.emulate.experiment import (
    Outcome,
    VariantOutcomes,
    confidence_half_width,
    render,
    run_experiment,
)
from leadseam.emulate.settings import BASE_VARIANT, Experiment
from leadseam.errors import SettingsError
from leadseam.runtime.process import EXIT_USAGE
from leadseam.settings.load import load_settings, parse_settings

KIND = {
    "name": "tag",
    "weight": 1,
    "shared": 100,
    "own": 200,
    "made": 5,
    "objective": 250,
    "patience": 2_000,
    "worth": 1,
    "late": 0.3,
    "subjects": 5,
}
SMALL = {
    "fleet": {
        "kinds": [KIND],
        "entries": 2,
        "engines": 2,
        "accounts": 3,
        "rate": 50,
        "span": 500,
    },
    "seeds": [1, 2],
    "variants": {"one engine": {"engines": 1}},
}


def test_the_example_is_valid() -> None:
    experiment = load_settings(Path("examples/emulate.yaml"), Experiment)
    assert set(experiment.variants) == {"as paced", "every 200 ms", "every 400 ms"}


def test_every_variant_is_simulated_with_every_seed() -> None:
    experiment = parse_settings(SMALL, Experiment, "small.yaml")
    results = run_experiment(experiment, "small.yaml")
    assert [one.name for one in results] == [BASE_VARIANT, "one engine"]
    assert [len(one.outcomes) for one in results] == [2, 2]
    assert results[1].outcomes[0].busy > results[0].outcomes[0].busy


def test_an_invalid_variant_is_named_in_the_error() -> None:
    data = SMALL | {"variants": {"none": {"engines": 0}}}
    experiment = parse_settings(data, Experiment, "small.yaml")
    with pytest.raises(SettingsError, match=r"small.yaml: variant none: \$.engines"):
        run_experiment(experiment, "small.yaml")


def test_differences_are_of_pairs_with_the_same_seed() -> None:
    def outcomes(*worths: float) -> tuple[Outcome, ...]:
        return tuple(Outcome(worth, 0.5, 0.1, 1_000, 0.8) for worth in worths)

    assert confidence_half_width([0.02]) == 0
    assert confidence_half_width([0.01, 0.03]) == pytest.approx(12.71 * 0.01)
    table = render(
        [
            VariantOutcomes(BASE_VARIANT, outcomes(0.80, 0.90)),
            VariantOutcomes("other", outcomes(0.82, 0.92)),
        ]
    )
    assert table.splitlines()[2].split() == [
        "other",
        "0.870",
        "+0.020",
        "+-",
        "0.000",
        "0.500",
        "0.100",
        "1000",
        "0.800",
    ]


def test_the_command_checks_a_file_and_names_a_fault(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    capsys: pytest.CaptureFixture[str],
) -> None:
    good = "examples/emulate.yaml"
    monkeypatch.setattr(sys, "argv", ["leadseam-emulate", "--check", good])
    emulate.main()
    assert capsys.readouterr().out == ""
    path = tmp_path / "bad.yaml"
    path.write_text("fleet: {kinds: [], entries: 3}\n")
    monkeypatch.setattr(sys, "argv", ["leadseam-emulate", str(path)])
    with pytest.raises(SystemExit) as exc:
        emulate.main()
    assert exc.value.code == EXIT_USAGE
    assert "$.fleet.kinds" in capsys.readouterr().err
