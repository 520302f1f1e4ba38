"""Admin routes of a control box for requests that crash upstreams.

Like metrics, the list may be read from anywhere in the network. A verdict may be lifted
only from the control box itself, as that allows a request to crash three more
upstreams.
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
        crashes: The verdicts known to this replica.
        own_ip: IP address of this box, from which verdicts may be lifted.
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
    """Return whether a connection comes from the box itself.

    Args:
        remote: IP address of the connection's peer, or empty if it has none.
        own_ip: IP address of this box.
    """
    try:
        return remote == own_ip or ipaddress.ip_address(remote).is_loopback
    except ValueError:
        # The peer has no IP address, as with a Unix socket.
        return False


def to_json(row: CrashRow) -> dict[str, Any]:
    """Return a verdict in the form that operators receive, without body and key."""
    return {
        "fingerprint": row.fingerprint,
        "account": row.account,
        "body_bytes": row.size,
        "ended": sorted(map(str, row.counted)),
    }
