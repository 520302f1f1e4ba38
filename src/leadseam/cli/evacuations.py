"""Failure domains whose upstreams get no requests.

Usage:
  leadseam-evacuations [--json] CONTROL
  leadseam-evacuations --evacuate DOMAIN CONTROL
  leadseam-evacuations --restore DOMAIN CONTROL
  leadseam-evacuations (-h | --help)

CONTROL is the metrics address IP:PORT of a control box. Requests under way in a failure
domain end there; the list shows how many are left, where the control box knows that.

Options:
  --json             Print JSON instead of a table.
  --evacuate DOMAIN  Send nothing more to a failure domain; to be run on that control
                     box.
  --restore DOMAIN   Use a failure domain again; to be run on that control box.

The exit code is 0, 1 if the control box did not do it, or 2 for a wrong address.
"""

from __future__ import annotations

import sys
import time
from typing import TYPE_CHECKING, Any

from docopt import docopt

from leadseam.cli._admin import run_command
from leadseam.clock import MILLIS_PER_SECOND
from leadseam.feed.evacuation_routes import EVACUATE_PATH, LIST_PATH, RESTORE_PATH

if TYPE_CHECKING:
    from leadseam.cli._admin import AdminClient

HEADINGS = ("domain", "state", "for s", "requests")


def main() -> None:
    """Entry point of `leadseam-evacuations`."""
    args = docopt(__doc__)

    async def command(admin: AdminClient) -> int:
        if args["--evacuate"]:
            return await admin.send_command(
                EVACUATE_PATH.format(domain=args["--evacuate"])
            )
        if args["--restore"]:
            return await admin.send_command(
                RESTORE_PATH.format(domain=args["--restore"])
            )
        return await admin.print_rows(LIST_PATH, render, as_json=args["--json"])

    sys.exit(run_command("leadseam-evacuations", args["CONTROL"], command))


def render(rows: list[dict[str, Any]], now: float | None = None) -> str:
    """Return a table of failure domains.

    Args:
        rows: The failure domains.
        now: Seconds since the Unix epoch. Defaults to the time of day.
    """
    now = time.time() if now is None else now
    lines = [f"{HEADINGS[0]:24}  {HEADINGS[1]:9}  {HEADINGS[2]:>8}  {HEADINGS[3]}"]
    for row in rows:
        state = "evacuated" if row["evacuated"] else "in use"
        age = max(round(now - row["since_ms"] / MILLIS_PER_SECOND), 0)
        requests = "-" if row["requests"] is None else row["requests"]
        lines.append(f"{row['domain']:24.24}  {state:9}  {age:>8}  {requests}")
    return "\n".join(lines)


if __name__ == "__main__":
    main()
