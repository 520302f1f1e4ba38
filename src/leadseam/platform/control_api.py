"""HTTP calls of operators and upstreams, mapped onto the control service."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.clock import Millis, sleep
from leadseam.control.service import Accepted, Invalid, Unavailable
from leadseam.errors import DocumentError
from leadseam.incarnation import Incarnation
from leadseam.platform import names
from leadseam.platform.heartbeat import (
    MAX_HEARTBEAT_BYTES,
    Fault,
    UnknownWriterError,
    read_heartbeat,
    read_instance,
    read_leaving,
)
from leadseam.platform.manifest import read_manifest

if TYPE_CHECKING:
    from leadseam.control.service import ControlService, Reply

MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Maximum size of a request body in bytes."""
CALLER_CHECK_DELAY: Millis = 20
"""Delay before an order without a version is carried out, if its caller is still
connected. It covers several round trips between boxes, so that a delayed call that its
caller has given up shows as a closed connection."""

_DOMAIN_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}", re.ASCII)
"""Names of failure domains that can be logged without escaping."""


class ControlApi:
    """HTTP handlers of the platform's control calls.

    Args:
        service: Makes the decisions.
    """

    def __init__(self, service: ControlService) -> None:
        self._service = service

    def application(self) -> web.Application:
        """Return the web application with the routes of all calls."""
        app = web.Application(client_max_size=MAX_DOCUMENT_BYTES)
        app.add_routes(
            [
                web.post(names.REPLACE_PATH, self._replace),
                web.get(names.READ_PATH, self._read),
                web.post(names.HEARTBEAT_PATH, self._heartbeat),
                web.post(names.LEAVE_PATH, self._leave),
                web.post(names.EVACUATE_PATH, self._evacuate),
                web.post(names.RESTORE_PATH, self._restore),
            ]
        )
        return app

    async def _replace(self, http: web.Request) -> web.Response:
        try:
            configuration = read_manifest(await http.read())
        except DocumentError as exc:
            self._service.log_unreadable_document(exc)
            return _error_response(400, exc.message)
        return _response(await self._service.replace(configuration))

    async def _read(self, http: web.Request) -> web.Response:
        document = await self._service.read_document()
        if document is None:
            return _error_response(503, "the newest configuration is not known here")
        return web.Response(body=document, content_type="application/json")

    async def _heartbeat(self, http: web.Request) -> web.Response:
        instance = http.match_info["instance"]
        try:
            registration = read_heartbeat(instance, await _read_small(http))
        except UnknownWriterError as exc:
            return self._reject_registration(instance, exc)
        reply = await self._service.heartbeat(registration)
        if isinstance(reply, Invalid):
            unknown_pool = UnknownWriterError(
                Fault.UNKNOWN_POOL, "; ".join(reply.faults)
            )
            return self._reject_registration(instance, unknown_pool)
        return _response(reply)

    async def _leave(self, http: web.Request) -> web.Response:
        instance = http.match_info["instance"]
        try:
            read_instance(instance)
            start = read_leaving(await _read_small(http))
        except UnknownWriterError as exc:
            return self._reject_registration(instance, exc)
        if start is None:
            return _response(await self._service.leave_without_start(instance))
        return _response(await self._service.leave(Incarnation(instance, start)))

    async def _evacuate(self, http: web.Request) -> web.Response:
        return await self._set_evacuated(http, evacuated=True)

    async def _restore(self, http: web.Request) -> web.Response:
        return await self._set_evacuated(http, evacuated=False)

    async def _set_evacuated(
        self, http: web.Request, *, evacuated: bool
    ) -> web.Response:
        domain = http.match_info["domain"]
        if not _DOMAIN_NAME.fullmatch(domain):
            return _error_response(400, "not the name of a failure domain")
        await sleep(CALLER_CHECK_DELAY)
        if http.transport is None or http.transport.is_closing():
            return _error_response(503, "the caller is gone")
        return _response(await self._service.evacuate(domain, evacuated=evacuated))

    def _reject_registration(
        self, instance: str, exc: UnknownWriterError
    ) -> web.Response:
        self._service.record_refused_registration(
            instance, exc.fault.value, exc.message
        )
        return _error_response(400, exc.message)


async def _read_small(http: web.Request) -> bytes:
    """Read a request body up to the size allowed for upstreams.

    Raises:
        UnknownWriterError: If the body is larger.
    """
    try:
        return await http.clone(client_max_size=MAX_HEARTBEAT_BYTES).read()
    except web.HTTPRequestEntityTooLarge as exc:
        raise UnknownWriterError(
            Fault.TOO_LARGE, "more bytes than an upstream sends"
        ) from exc


def _response(reply: Reply) -> web.Response:
    match reply:
        case Accepted():
            return web.json_response({})
        case Invalid(faults=faults):
            return _error_response(400, "; ".join(faults))
        case Unavailable(reason=reason):
            return _error_response(503, reason)


def _error_response(status: int, message: str) -> web.Response:
    return web.json_response({"error": message}, status=status)
