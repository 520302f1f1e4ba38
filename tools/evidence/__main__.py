"""Score, hunt and sweep all deployments on the code that is checked out.

Works through what is missing, deployments with the oldest evidence first. What is done
is read from the journal, so a run may be stopped at any time and goes on later or on
another machine. An entry counts if the commit that it played has the same code.

Usage:
  evidence --bench FILE [options] SITES
  evidence --table [options] SITES
  evidence (-h | --help)

SITES is a folder with site files; those in its subfolders count too.

Options:
  --bench FILE    Program that plays deployments.
  --table         Only print the table of what is known.
  --only NAMES    Only these deployments, separated by commas, in this order.
  --jobs N        Plays at the same time [default: 2].
  --memory GB     Free memory below which no play is begun [default: 8].
  --journal DIR   Folder of the journal [default: journal].
  --policy FILE   Page with the stated mean worth [default: docs/POLICY.md].
  --why TEXT      Line for the journal [default: evidence].
"""

from __future__ import annotations

import asyncio
import subprocess
import sys
from pathlib import Path

from docopt import docopt

from tools.evidence.plan import missing
from tools.evidence.records import CodeComparison, Evidence, collect, read_records
from tools.evidence.runner import Runner
from tools.evidence.sites import Site, find_sites
from tools.evidence.table import read_policy, render

BYTES_PER_GB = 1 << 30


def main() -> None:
    """Entry point of `python -m tools.evidence`."""
    args = docopt(__doc__)
    sites = _select(find_sites(Path(args["SITES"])), args["--only"])
    code = CodeComparison(Path())
    journal = Path(args["--journal"])

    def known() -> dict[str, Evidence]:
        return collect(read_records(journal), code.is_same)

    try:
        if not args["--table"]:
            tasks = missing(sites, known(), read_records(journal))
            runner = Runner(
                args["--bench"],
                why=args["--why"],
                jobs=int(args["--jobs"]),
                min_memory=round(float(args["--memory"]) * BYTES_PER_GB),
            )
            asyncio.run(runner.run(tasks))
    except KeyboardInterrupt:
        print("stopped", file=sys.stderr)
    policy = read_policy(Path(args["--policy"]).read_text(encoding="utf-8"))
    print(render(sites, known(), policy, _commit()))


def _select(sites: list[Site], names: str | None) -> list[Site]:
    if not names:
        return sites
    by_name = {site.name: site for site in sites}
    unknown = [name for name in names.split(",") if name not in by_name]
    if unknown:
        sys.exit(f"evidence: no such deployment: {', '.join(unknown)}")
    return [by_name[name] for name in names.split(",")]


def _commit() -> str:
    command = ["git", "rev-parse", "--short", "HEAD"]
    return subprocess.run(
        command, capture_output=True, text=True, check=True
    ).stdout.strip()


if __name__ == "__main__":
    main()
