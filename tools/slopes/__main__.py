"""Measure how costs grow: bytes, processor time and memory against load sizes.

Usage:
  slopes [--only NAME]
  slopes (-h | --help)

Options:
  --only NAME  Only this slope.

Every slope is a line fitted to at least three points. Links are real (loopback, the
project's own codec); the peers are small fakes in one process. Processor time is that
of the measured process, as accounted by the system.
"""

from __future__ import annotations

import platform

import psutil
import uvloop
from docopt import docopt

from tools.slopes.decisions import compute_slopes, message_sizes
from tools.slopes.links import link_slopes
from tools.slopes.sampling import measure_async_slope, measure_slope


async def main_async(only: str | None) -> None:
    """Run all measurements and print their results."""
    print(f"Python {platform.python_version()}, {psutil.cpu_count()} processors")
    print("| slope | per unit | intercept | correlation | spread | points |")
    print("|---|---|---|---|---|---|")
    for name, unit, sizes, measure in compute_slopes():
        if only in (None, name):
            print(measure_slope(name, unit, sizes, measure), flush=True)
    for name, unit, sizes, run in link_slopes():
        if only in (None, name):
            print(await measure_async_slope(name, unit, sizes, run), flush=True)
    if only is None:
        for name, size in message_sizes().items():
            print(f"{name}: {size} B")


def main() -> None:
    """Entry point of `make slopes`."""
    args = docopt(__doc__)
    uvloop.run(main_async(args["--only"]))


if __name__ == "__main__":
    main()
