"""Run a stand-in for an upstream or for the platform; for tests and the demo.

Usage:
  leadseam-standin [--check] SETTINGS
  leadseam-standin (-h | --help)

Options:
  --check    Check the settings and exit.
"""

from __future__ import annotations

from docopt import docopt

from leadseam.cli._common import settings_or_exit
from leadseam.runtime.process import run_program
from leadseam.settings.models import StandinSettings
from leadseam.standin.program import StandinProgram


def main() -> None:
    """Entry point of `leadseam-standin`."""
    args = docopt(__doc__)
    settings = settings_or_exit(args, StandinSettings)
    run_program(
        f"standin-{settings.kind}",
        lambda: StandinProgram(settings),
        level="info",
    )


if __name__ == "__main__":
    main()
