"""Client of the operators' RPC: one call at a time, to any replica that answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, StreamTerminatedError

from leadseam.clock import Millis, seconds
from leadseam.errors import LeadseamError
from leadseam.schema import operator_pb2 as pb
from leadseam.schema.operator_grpc import OperatorStub

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from leadseam.settings.models import Endpoint

T = TypeVar("T")

CALL_TIMEOUT: Millis = 7_000
STATUS_TIMEOUT: Millis = 1_500


class UnavailableError(LeadseamError):
    """No replica answered."""

    code = "unavailable"


class DeniedError(LeadseamError):
    """The operator's token is wrong or the request is malformed."""

    code = "denied"


class OperatorClient:
    """Calls the operators' RPC and fails over to the next replica.

    Every call is safe to repeat, since a change is identified by its id.

    Args:
        endpoints: Addresses of the replicas' RPC service.
        token: The operator's token.
    """

    def __init__(self, endpoints: list[Endpoint], token: str) -> None:
        self._endpoints = endpoints
        self._sorted = False
        self._metadata = {"authorization": f"Bearer {token}"}

    async def apply(self, request: pb.ApplyRequest) -> pb.ApplyReply:
        """Apply a change."""
        return await self._call_any(
            lambda stub: stub.Apply(request, metadata=self._metadata)
        )

    async def get(self) -> pb.Configuration:
        """Return the configuration in force."""
        request = pb.GetRequest()
        return await self._call_any(
            lambda stub: stub.Get(request, metadata=self._metadata)
        )

    async def history(self, limit: int) -> pb.HistoryReply:
        """Return the newest accepted changes, at most `limit`."""
        request = pb.HistoryRequest(limit=limit)
        return await self._call_any(
            lambda stub: stub.History(request, metadata=self._metadata)
        )

    async def status(self) -> list[tuple[Endpoint, pb.StatusReply | None]]:
        """Return the status of every replica, or None for one that does not answer."""
        replies = await asyncio.gather(*map(self._status, self._endpoints))
        return list(zip(self._endpoints, replies, strict=True))

    async def _status(self, endpoint: Endpoint) -> pb.StatusReply | None:
        request = pb.StatusRequest()
        try:
            return await self._call(
                endpoint,
                lambda stub: stub.Status(request, metadata=self._metadata),
                STATUS_TIMEOUT,
            )
        except UnavailableError:
            return None

    async def _call_any(self, call: Callable[[OperatorStub], Awaitable[T]]) -> T:
        if not self._sorted:
            await self._sort_live_first()
        failures = []
        for endpoint in self._endpoints:
            try:
                return await self._call(endpoint, call, CALL_TIMEOUT)
            except UnavailableError as exc:
                self._sorted = False
                failures.append(exc.message)
        raise UnavailableError("; ".join(failures))

    async def _sort_live_first(self) -> None:
        """Sort live replicas first, to avoid long waits for frozen or isolated ones."""
        statuses = await self.status()
        live = {reply.identity for _, reply in statuses if reply and reply.current}
        self._endpoints = [
            endpoint
            for endpoint, _ in sorted(
                statuses,
                key=lambda row: row[1] is None or row[1].identity not in live,
            )
        ]
        self._sorted = bool(live)

    async def _call(
        self,
        endpoint: Endpoint,
        call: Callable[[OperatorStub], Awaitable[T]],
        timeout: Millis,
    ) -> T:
        channel = Channel(endpoint.ip, endpoint.port)
        try:
            async with asyncio.timeout(seconds(timeout)):
                return await call(OperatorStub(channel))
        except GRPCError as exc:
            if exc.status in (Status.UNAUTHENTICATED, Status.INVALID_ARGUMENT):
                raise DeniedError(str(exc.message)) from exc
            raise UnavailableError(f"{endpoint.port}: {exc.message}") from exc
        except (OSError, TimeoutError, StreamTerminatedError) as exc:
            raise UnavailableError(f"{endpoint.ip}:{endpoint.port}: {exc!r}") from exc
        finally:
            channel.close()
