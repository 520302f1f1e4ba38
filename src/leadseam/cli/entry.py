"""Run an entry.

Usage:
  leadseam-entry [--check] SETTINGS
  leadseam-entry (-h | --help)

Options:
  --check    Check the settings and exit.
"""

from __future__ import annotations

from docopt import docopt

from leadseam.cli._common import settings_or_exit
from leadseam.entry.program import EntryProgram
from leadseam.runtime.process import run_program
from leadseam.settings.models import EntrySettings


def main() -> None:
    """Entry point of `leadseam-entry`."""
    args = docopt(__doc__)
    settings = settings_or_exit(args, EntrySettings)
    run_program(
        settings.identity.node,
        lambda: EntryProgram(settings),
        level=settings.log_level,
    )


if __name__ == "__main__":
    main()
