"""Run a complete fleet with stand-ins in one process, as a demo.

Usage:
  leadseam-local [--port PORT] [--seconds N]
  leadseam-local (-h | --help)

Options:
  --port PORT   Port of the first entry; 0 picks a free one [default: 8080].
  --seconds N   Stop after N seconds; 0 runs until interrupted [default: 0].
"""

from __future__ import annotations

import tempfile
from pathlib import Path

from docopt import docopt

from leadseam.local.fleet import LocalFleet
from leadseam.runtime.process import run_program


def main() -> None:
    """Entry point of `leadseam-local`."""
    args = docopt(__doc__)
    with tempfile.TemporaryDirectory(prefix="leadseam-") as folder:
        run_program(
            "local",
            lambda: LocalFleet(
                Path(folder), port=int(args["--port"]), seconds=int(args["--seconds"])
            ),
            level="warning",
        )


if __name__ == "__main__":
    main()
