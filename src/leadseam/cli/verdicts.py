"""Requests that are refused because upstreams have crashed under them.

Usage:
  leadseam-verdicts [--json] CONTROL
  leadseam-verdicts --lift FINGERPRINT CONTROL
  leadseam-verdicts (-h | --help)

CONTROL is the metrics address IP:PORT of a control box. Lines of entries tell more of
a request by its fingerprint: `attempt failed`, `request crashes upstreams and is
refused`.

Options:
  --json              Print JSON instead of a table.
  --lift FINGERPRINT  Serve a request again; to be run on that control box. It is
                      refused anew once three more upstreams have crashed under it.

The exit code is 0, 1 if the control box did not do it, or 2 for a wrong address.
"""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Any

import aiohttp
from docopt import docopt

from leadseam.errors import SettingsError
from leadseam.feed.verdict_routes import LIFT_PATH, LIST_PATH
from leadseam.platform.settings import read_address
from leadseam.runtime.connector import LoopConnector
from leadseam.runtime.process import EXIT_FAILED, EXIT_OK, EXIT_USAGE

if TYPE_CHECKING:
    from leadseam.settings.models import Endpoint

TIMEOUT_S = 5.0
"""Seconds for an answer: a control box gives a write up after some four."""
HEADINGS = ("fingerprint", "account", "bytes", "crashed")


def main() -> None:
    """Entry point of `leadseam-verdicts`."""
    args = docopt(__doc__)
    try:
        control = read_address(args["CONTROL"])
    except (ValueError, SettingsError) as exc:
        print(f"leadseam-verdicts: {exc}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    try:
        if args["--lift"]:
            sys.exit(asyncio.run(_lift(control, args["--lift"])))
        rows = asyncio.run(_fetch(control))
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        print(f"leadseam-verdicts: {control}: {exc}", file=sys.stderr)
        sys.exit(EXIT_FAILED)
    print(json.dumps(rows, indent=2) if args["--json"] else render(rows))


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


async def _fetch(control: Endpoint) -> list[dict[str, Any]]:
    async with _session() as http, http.get(_url(control, LIST_PATH)) as resp:
        resp.raise_for_status()
        rows: list[dict[str, Any]] = await resp.json()
        return rows


async def _lift(control: Endpoint, fingerprint: str) -> int:
    url = _url(control, LIFT_PATH.format(fingerprint=fingerprint))
    async with _session() as http, http.post(url) as resp:
        print(await resp.text())
        return EXIT_OK if resp.ok else EXIT_FAILED


def _url(control: Endpoint, path: str) -> str:
    return f"http://{control.ip}:{control.port}{path}"


def _session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=LoopConnector(), timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
    )


if __name__ == "__main__":
    main()
