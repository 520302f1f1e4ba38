"""Run real nodes under random faults and check their guarantees meanwhile.

Usage:
  soak [--seeds N] [--first SEED] [--minutes M] [options]
  soak --replay SEED [options]
  soak (-h | --help)

Options:
  --seeds N      Seeds to run [default: 10].
  --first SEED   First seed; random if not given.
  --minutes M    Start no seed after this many minutes [default: 60].
  --replay SEED  Run one seed, and keep the logs of its nodes.
  --seconds S    Length of the interval in which faults begin [default: 20].
  --nodes N      Entry boxes [default: 2].
  --callers N    Callers per entry [default: 6].
  --untimed      Do not check time limits, for use on a busy box.
  --same-ids     Servers restart under the same id, and invalid registrations are sent
                 to the control boxes.
  --deadly       Some requests crash each server that begins them.
  --deadly-part  A part of some prompts does.
  --suspended    Boxes are suspended more often, and their steady clocks with them.
  --evacuations  An operator repeatedly evacuates and restores a failure domain.
  --rests        Servers refuse all requests and ask for a pause, or announce in
                 answers that they leave.
  --refusals     Servers refuse or fail requests while entries are killed in series.
  --unframed     Half of the answers end with their connection, without a length or
                 chunks; servers break some off inside an event.
  --spoil        Servers mutate one answer in five.
  --crowds       Crowds of clients leave large or odd requests unfinished at entries.
  --beside DIR   Each second process runs the sources of another build in this folder.
  --versions V   Software versions of the model servers, whose streams callers resume
                 [default: 1].

The exit code is 0 if no promise was broken, else 1.
"""

from __future__ import annotations

import asyncio
import logging
import secrets
import sys
import tempfile
import time
from pathlib import Path

from docopt import docopt

from tools.soak.run import SoakOptions, Summary, run_seed

FIRST_SEEDS = 1_000_000
"""Random first seeds are below this number, so that they are short to write down."""


def main() -> None:
    """Entry point."""
    args = docopt(__doc__)
    # The proxy library leaves tasks of cut connections pending, which asyncio logs.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    options = SoakOptions(
        seconds=float(args["--seconds"]),
        entries=int(args["--nodes"]),
        callers=int(args["--callers"]),
        timed=not args["--untimed"],
        same_ids=args["--same-ids"],
        deadly=args["--deadly"],
        deadly_part=args["--deadly-part"],
        suspended=args["--suspended"],
        evacuations=args["--evacuations"],
        pauses=args["--rests"],
        refusals=args["--refusals"],
        unframed=args["--unframed"],
        spoil=args["--spoil"],
        crowds=args["--crowds"],
        other_sources=args["--beside"] or "",
        versions=int(args["--versions"]),
    )
    if args["--replay"]:
        sys.exit(_replay(int(args["--replay"]), options))
    first = int(args["--first"] or secrets.randbelow(FIRST_SEEDS))
    end = time.monotonic() + float(args["--minutes"]) * 60
    sys.exit(_run_all(range(first, first + int(args["--seeds"])), options, end))


def _replay(seed: int, options: SoakOptions) -> int:
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    summary = asyncio.run(run_seed(folder, seed, options))
    print(summary, f"logs in {folder}", sep="\n  ")
    return bool(summary.broken)


def _run_all(seeds: range, options: SoakOptions, end: float) -> int:
    summaries: list[Summary] = []
    for seed in seeds:
        if time.monotonic() >= end:
            break
        with tempfile.TemporaryDirectory(prefix="soak-") as folder:
            summaries.append(asyncio.run(run_seed(Path(folder), seed, options)))
        print(summaries[-1], flush=True)
    return _print_total(summaries, len(seeds))


def _print_total(summaries: list[Summary], planned: int) -> int:
    failed = [one.seed for one in summaries if one.broken]
    faults = sum(sum(one.faults.values()) for one in summaries)
    calls = sum(sum(one.answers.values()) for one in summaries)
    checks = sum(sum(one.checked.values()) for one in summaries)
    print(
        f"{len(summaries)} of {planned} seeds run, {faults} faults, {calls} calls,"
        f" {checks} checks; seeds with a broken promise: {failed or 'none'}"
    )
    return bool(failed)


if __name__ == "__main__":
    main()
