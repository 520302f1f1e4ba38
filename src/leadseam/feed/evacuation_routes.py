"""Admin routes of a control box for evacuated failure domains.

Like metrics, the list may be read from anywhere in the network. Orders are accepted
only from the control box itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from leadseam.control.service import Accepted, Invalid, Unavailable
from leadseam.feed.verdict_routes import is_from_own_box

if TYPE_CHECKING:
    from leadseam.control.evacuations import EvacuationRow
    from leadseam.control.service import ControlService
    from leadseam.feed.server import FeedServer

LIST_PATH = "/evacuations"
EVACUATE_PATH = "/evacuations/{domain}/evacuate"
RESTORE_PATH = "/evacuations/{domain}/restore"


def evacuation_routes(
    service: ControlService, feed: FeedServer, *, own_ip: str
) -> list[web.AbstractRouteDef]:
    """Return the routes.

    Args:
        service: Service that executes orders.
        feed: Feed server of this replica, which has the rows and the entries' loads.
        own_ip: IP address of this box, from which orders are accepted.
    """

    async def show(_: web.Request) -> web.Response:
        rows = feed.evacuations.rows()
        return web.json_response(
            [to_json(row, feed.requests_in(row.domain)) for row in rows]
        )

    async def switch(req: web.Request, *, evacuated: bool) -> web.Response:
        if not is_from_own_box(req.remote or "", own_ip):
            error = {"error": "orders are taken from the control box itself"}
            return web.json_response(error, status=403)
        domain = req.match_info["domain"]
        match await service.evacuate(domain, evacuated=evacuated):
            case Accepted():
                return web.json_response({"domain": domain, "evacuated": evacuated})
            case Invalid(faults=faults):
                return web.json_response({"error": "; ".join(faults)}, status=400)
            case Unavailable(reason=reason):
                return web.json_response({"error": reason}, status=503)

    async def evacuate(req: web.Request) -> web.Response:
        return await switch(req, evacuated=True)

    async def restore(req: web.Request) -> web.Response:
        return await switch(req, evacuated=False)

    return [
        web.get(LIST_PATH, show),
        web.post(EVACUATE_PATH, evacuate),
        web.post(RESTORE_PATH, restore),
    ]


def to_json(row: EvacuationRow, requests: int | None) -> dict[str, Any]:
    """Return a failure domain in the form that operators receive.

    Args:
        row: Row of the failure domain.
        requests: Number of requests still in progress there, or None if unknown.
    """
    return {
        "domain": row.domain,
        "evacuated": row.evacuated,
        "since_ms": row.at,
        "requests": requests,
    }
