"""Admin routes of a control box on evacuated failure domains.

Anybody in the network may read them, as metrics. Orders are taken from the control box
itself only.
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
        service: Carries orders out.
        feed: What this replica knows.
        own_ip: Address of this box; others may not give orders.
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
    """Return what operators see of a failure domain.

    Args:
        row: The failure domain.
        requests: Requests still under way there, or None if that is not known.
    """
    return {
        "domain": row.domain,
        "evacuated": row.evacuated,
        "since_ms": row.at,
        "requests": requests,
    }
