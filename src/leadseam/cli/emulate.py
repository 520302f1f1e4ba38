"""Play a fleet's decisions against a model of engines, in virtual time.

Usage:
  leadseam-emulate [--check] EXPERIMENT
  leadseam-emulate (-h | --help)

EXPERIMENT is a YAML file: a fleet, seeds, and variants of the fleet. Each variant is
played with each seed by the entries' own code, and a table compares them; a difference
within its interval says nothing. See examples/emulate.yaml.

Options:
  --check   Only check the file: exit code 0 or 2.
"""

from __future__ import annotations

import sys
from pathlib import Path

from docopt import docopt

from leadseam.emulate.experiment import render, run_experiment
from leadseam.emulate.settings import Experiment
from leadseam.errors import SettingsError
from leadseam.runtime.process import EXIT_USAGE
from leadseam.settings.load import load_settings


def main() -> None:
    """Entry point of `leadseam-emulate`."""
    args = docopt(__doc__)
    path = Path(args["EXPERIMENT"])
    try:
        experiment = load_settings(path, Experiment)
        if not args["--check"]:
            print(render(run_experiment(experiment, str(path))))
    except SettingsError as exc:
        print(f"leadseam-emulate: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)


if __name__ == "__main__":
    main()
