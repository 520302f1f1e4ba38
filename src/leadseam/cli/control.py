"""Run a control replica.

Usage:
  leadseam-control [--check] [--found] SETTINGS
  leadseam-control (-h | --help)

Options:
  --check    Check the settings and exit.
  --found    Bootstrap a new group: once, on all replicas, with empty data directories.
             Never use it on a replica that lost its disk: that one joins without it.
"""

from __future__ import annotations

from docopt import docopt

from leadseam.cli._common import settings_or_exit
from leadseam.control.program import ControlProgram
from leadseam.runtime.process import run_program
from leadseam.settings.models import ControlSettings


def main() -> None:
    """Entry point of `leadseam-control`."""
    args = docopt(__doc__)
    settings = settings_or_exit(args, ControlSettings)
    run_program(
        settings.identity.node,
        lambda: ControlProgram(settings, bootstrap=bool(args["--found"])),
        level=settings.log_level,
    )


if __name__ == "__main__":
    main()
