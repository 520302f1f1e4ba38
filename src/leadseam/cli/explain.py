"""Summarise from a fleet's log lines how requests ended, and where they were lost.

Usage:
  leadseam-explain [--by KEYS] [--rows N] [--request ID] [LOG ...]
  leadseam-explain --accounts [--rows N] [LOG ...]
  leadseam-explain --shares [--rows N] [LOG ...]
  leadseam-explain --plot FILE [LOG ...]
  leadseam-explain (-h | --help)

Reads the given files, or standard input. Lines that are not about an ended request are
skipped. Entries write a limited number of lines per second, so the counts of a busy
entry are a sample; its metrics are complete.

Options:
  --by KEYS      Keys to group by, separated by commas: route, account, node, upstream,
                 reason, standing, size, second. [default: route,reason,account]
  --accounts     Show service requested and received by client accounts, by second, at
                 the entries that refused requests.
  --shares       Show how far refused client accounts fell short of the best served one
                 in spans of six seconds. Needs the lines of all entries.
  --plot FILE    Plot how requests ended, by second and by client account, as PNG or SVG
                 depending on the file's suffix. Needs the extra `plots`.
  --rows N       Maximum rows of each table; with --accounts, of each second.
                 [default: 20]
  --request ID   Only requests with this identifier.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

from docopt import docopt

from leadseam.explain.accounts import read_accounts, render_accounts
from leadseam.explain.plot import PlotError, draw
from leadseam.explain.records import read_records
from leadseam.explain.shares import find_shortfalls, render_shortfalls
from leadseam.explain.tables import GroupKey, group_requests, render
from leadseam.runtime.process import EXIT_FAILED, EXIT_USAGE

if TYPE_CHECKING:
    from collections.abc import Iterator

    from leadseam.explain.records import EndedRequest


def main() -> None:
    """Entry point of `leadseam-explain`."""
    args = docopt(__doc__)
    try:
        keys = [GroupKey(name) for name in args["--by"].split(",")]
        max_rows = int(args["--rows"])
    except ValueError as exc:
        print(f"leadseam-explain: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    if args["--accounts"] or args["--shares"]:
        rows = read_accounts(_read_lines(args["LOG"]))
        if args["--shares"]:
            print(render_shortfalls(find_shortfalls(rows), max_rows=max_rows))
        else:
            print(render_accounts(rows, max_rows=max_rows))
        return
    requests = list(read_records(_read_lines(args["LOG"])))
    if args["--plot"]:
        _draw_plot(requests, Path(args["--plot"]))
        return
    if args["--request"]:
        requests = [one for one in requests if one.request_id == args["--request"]]
    for key in keys:
        print(render(group_requests(requests, key), key, max_rows=max_rows), end="\n\n")


def _draw_plot(requests: list[EndedRequest], path: Path) -> None:
    try:
        draw(requests, path)
    except PlotError as exc:
        print(f"leadseam-explain: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def _read_lines(paths: list[str]) -> Iterator[str]:
    if not paths:
        yield from sys.stdin
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            yield from file


if __name__ == "__main__":
    main()
