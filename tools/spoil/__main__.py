"""Send calls to servers that mutate their answers, and judge what callers get.

Usage:
  spoil [--seeds N] [--first SEED] [options]
  spoil (-h | --help)

Options:
  --seeds N      Seeds to run [default: 1].
  --first SEED   First seed [default: 1].
  --answers N    Calls of a seed [default: 2000].
  --sidecars     Send them through sidecars, a sound one behind each.
  --nodes DIR    Run the nodes from the sources in this folder.
  --shown N      Wrong answers of a seed that are printed [default: 5].

The exit code is 0 if no caller got a wrong answer, else 1.
"""

from __future__ import annotations

import asyncio
import logging
import sys
import tempfile
import time
from pathlib import Path

from docopt import docopt

from tools.spoil import fuzz, sidecar_fuzz


def main() -> None:
    """Entry point."""
    args = docopt(__doc__)
    # Requests of the nodes that are cut are no fault of the stand-in.
    logging.getLogger("aiohttp").setLevel(logging.CRITICAL)
    first, shown = int(args["--first"]), int(args["--shown"])
    wrong = 0
    for seed in range(first, first + int(args["--seeds"])):
        start = time.monotonic()
        with tempfile.TemporaryDirectory(prefix="spoil-") as folder:
            answers = int(args["--answers"])
            sources = args["--nodes"] or ""
            play = sidecar_fuzz.run_seed if args["--sidecars"] else fuzz.run_seed
            result = asyncio.run(play(Path(folder), seed, answers, sources=sources))
        took = time.monotonic() - start
        print(result, f"took {took:.0f} s", *result.wrong[:shown], sep="\n  ")
        wrong += len(result.wrong)
    sys.exit(bool(wrong))


if __name__ == "__main__":
    main()
