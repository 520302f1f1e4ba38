"""List and lift verdicts: requests refused because upstreams crashed under them.

Usage:
  leadseam-verdicts [--json] CONTROL
  leadseam-verdicts --lift FINGERPRINT CONTROL
  leadseam-verdicts (-h | --help)

CONTROL is the metrics address IP:PORT of a control box. Entries log more about a
request under its fingerprint: see `attempt failed` and `request crashes upstreams and
is refused`.

Options:
  --json              Print JSON instead of a table.
  --lift FINGERPRINT  Serve a request again; must be run on that control box. It is
                      refused again once three more upstreams have crashed under it.

The exit code is 0 for success, 1 if the control box did not carry out the command, or
2 for a wrong address.
"""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

from docopt import docopt

from leadseam.cli._admin import run_command
from leadseam.feed.verdict_routes import LIFT_PATH, LIST_PATH

if TYPE_CHECKING:
    from leadseam.cli._admin import AdminClient

HEADINGS = ("fingerprint", "account", "bytes", "crashed")


def main() -> None:
    """Entry point of `leadseam-verdicts`."""
    args = docopt(__doc__)

    async def command(admin: AdminClient) -> int:
        if args["--lift"]:
            return await admin.send_command(
                LIFT_PATH.format(fingerprint=args["--lift"])
            )
        return await admin.print_rows(LIST_PATH, render, as_json=args["--json"])

    sys.exit(run_command("leadseam-verdicts", args["CONTROL"], command))


def render(rows: list[dict[str, Any]]) -> str:
    """Return a table of verdicts."""
    lines = [f"{HEADINGS[0]:32}  {HEADINGS[1]:16} {HEADINGS[2]:>8}  {HEADINGS[3]}"]
    for row in rows:
        ended = " ".join(row["ended"])
        lines.append(
            f"{row['fingerprint']:32}  {row['account']:16.16} {row['body_bytes']:>8}"
            f"  {ended}"
        )
    return "\n".join(lines)


if __name__ == "__main__":
    main()
