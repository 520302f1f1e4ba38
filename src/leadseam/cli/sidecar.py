"""Run the sidecar of one upstream.

Usage:
  leadseam-sidecar [--check] SETTINGS
  leadseam-sidecar (-h | --help)

Options:
  --check    Check the settings and exit.
"""

from __future__ import annotations

from docopt import docopt

from leadseam.cli._common import settings_or_exit
from leadseam.runtime.process import run_program
from leadseam.settings.models import SidecarSettings
from leadseam.sidecar.program import SidecarProgram


def main() -> None:
    """Entry point of `leadseam-sidecar`."""
    args = docopt(__doc__)
    settings = settings_or_exit(args, SidecarSettings)
    run_program(
        settings.identity.node,
        lambda: SidecarProgram(settings),
        level=settings.log_level,
    )


if __name__ == "__main__":
    main()
