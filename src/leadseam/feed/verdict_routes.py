"""Admin routes of a control box on requests that crash upstreams.

Anybody in the network may read them, as metrics. A verdict is lifted from the control
box itself only: whoever may do that can have a request crash three more upstreams.
"""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

from aiohttp import web

if TYPE_CHECKING:
    from leadseam.feed.crash_server import CrashServer
    from leadseam.wire.crashes import CrashRow

LIST_PATH = "/verdicts"
LIFT_PATH = "/verdicts/{fingerprint}/lift"


def verdict_routes(crashes: CrashServer, *, own_ip: str) -> list[web.AbstractRouteDef]:
    """Return the routes.

    Args:
        crashes: What this replica knows.
        own_ip: Address of this box; others may not lift anything.
    """

    async def show(_: web.Request) -> web.Response:
        return web.json_response([to_json(row) for row in crashes.verdicts()])

    async def lift(req: web.Request) -> web.Response:
        if not is_from_own_box(req.remote or "", own_ip):
            error = {"error": "verdicts are lifted from the control box itself"}
            return web.json_response(error, status=403)
        written = await crashes.lift(req.match_info["fingerprint"])
        return web.json_response({"written": written}, status=200 if written else 503)

    return [web.get(LIST_PATH, show), web.post(LIFT_PATH, lift)]


def is_from_own_box(remote: str, own_ip: str) -> bool:
    """Tell whether a connection comes from the box itself."""
    try:
        return remote == own_ip or ipaddress.ip_address(remote).is_loopback
    except ValueError:
        # No address of an internet connection.
        return False


def to_json(row: CrashRow) -> dict[str, Any]:
    """Return what operators see of a request: neither its body nor a key."""
    return {
        "fingerprint": row.fingerprint,
        "account": row.account,
        "body_bytes": row.size,
        "ended": sorted(map(str, row.counted)),
    }
