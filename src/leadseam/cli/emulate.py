"""Simulate a fleet's decisions against a model of engines, in virtual time.

Usage:
  leadseam-emulate [--check] [--crashes] EXPERIMENT
  leadseam-emulate (-h | --help)

EXPERIMENT is a YAML file with a fleet, seeds, and variants of the fleet. Each variant
is run with each seed by the entries' own code, and a table compares them; a difference
within its interval is not significant. See examples/emulate.yaml.

Options:
  --check    Only check the file: exit code 0 or 2.
  --crashes  Simulate requests that crash upstreams; see examples/crashes.yaml.
"""

from __future__ import annotations

import sys
from pathlib import Path

from docopt import docopt

from leadseam.emulate.crash_settings import CrashExperiment
from leadseam.emulate.crashes import TABLE_HEADER, CrashSimulation
from leadseam.emulate.crashes import render as render_crashes
from leadseam.emulate.experiment import render, run_experiment
from leadseam.emulate.settings import Experiment, expand_variants
from leadseam.errors import SettingsError
from leadseam.runtime.process import EXIT_USAGE
from leadseam.settings.load import load_settings


def main() -> None:
    """Entry point of `leadseam-emulate`."""
    args = docopt(__doc__)
    path = Path(args["EXPERIMENT"])
    try:
        if args["--crashes"]:
            _run_crashes(path, check=args["--check"])
            return
        experiment = load_settings(path, Experiment)
        if not args["--check"]:
            print(render(run_experiment(experiment, str(path))))
    except SettingsError as exc:
        print(f"leadseam-emulate: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


def _run_crashes(path: Path, *, check: bool) -> None:
    experiment = load_settings(path, CrashExperiment)
    fleets = expand_variants(experiment.crashes, experiment.variants, str(path))
    if check:
        return
    print(TABLE_HEADER)
    for name, cfg in fleets.items():
        tallies = [CrashSimulation(cfg, seed=seed).run() for seed in experiment.seeds]
        print(render_crashes(name, tallies), flush=True)


if __name__ == "__main__":
    main()
