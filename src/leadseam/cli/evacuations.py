"""List, evacuate and restore failure domains; evacuated ones get no requests.

Usage:
  leadseam-evacuations [--json] CONTROL
  leadseam-evacuations --evacuate DOMAIN CONTROL
  leadseam-evacuations --restore DOMAIN CONTROL
  leadseam-evacuations (-h | --help)

CONTROL is the metrics address IP:PORT of a control box. Requests in flight in a failure
domain finish there; the list shows how many are left, if the control box knows it.

Options:
  --json             Print JSON instead of a table.
  --evacuate DOMAIN  Send no more requests to a failure domain; must be run on that
                     control box.
  --restore DOMAIN   Use a failure domain again; must be run on that control box.

The exit code is 0 for success, 1 if the control box did not carry out the command, or
2 for a wrong address.
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
        rows: Failure domains as returned by the control box.
        now: Seconds since the Unix epoch. Defaults to the current time.
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
