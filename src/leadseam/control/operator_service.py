"""The operators' gRPC service of a control replica."""

from __future__ import annotations

import hashlib
import hmac
from typing import TYPE_CHECKING, Any, TypeVar

from grpclib.const import Status
from grpclib.exceptions import GRPCError

from leadseam.control.state import Change, ChangeResult
from leadseam.schema import operator_pb2 as pb
from leadseam.schema.convert import (
    OperationError,
    configuration_to_message,
    operation_from_message,
)
from leadseam.schema.operator_grpc import OperatorBase

if TYPE_CHECKING:
    from grpclib.server import Stream

    from leadseam.control.replica import Replica
    from leadseam.feed.server import FeedServer
    from leadseam.runtime.metrics import ControlMetrics

DEFAULT_HISTORY = 20
"""Changes that `History` returns if the request sets no limit."""
BEARER = "Bearer "

T = TypeVar("T")


class OperatorService(OperatorBase):
    """Authenticates operators and submits their changes to the replica.

    Args:
        replica: The replica in the same process.
        feed: The feed, whose subscribers `Status` lists.
        operators: SHA-256 of each operator's token, by name.
        metrics: Metrics of the replica.
    """

    def __init__(
        self,
        replica: Replica,
        feed: FeedServer,
        operators: dict[str, str],
        metrics: ControlMetrics,
    ) -> None:
        self._replica = replica
        self._feed = feed
        self._operators = operators
        self._metrics = metrics

    async def Apply(self, stream: Stream[pb.ApplyRequest, pb.ApplyReply]) -> None:
        """Apply all operations of a change or none."""
        operator = self._authenticate(stream)
        request = await _receive_request(stream)
        if not request.change_id:
            raise GRPCError(Status.INVALID_ARGUMENT, "empty change_id")
        try:
            operations = tuple(map(operation_from_message, request.operations))
        except OperationError as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, exc.message) from exc
        change = Change(request.change_id, request.expect_version, operations, operator)
        result = await self._replica.submit(change)
        if not isinstance(result, ChangeResult):
            raise GRPCError(Status.UNAVAILABLE, "no quorum confirmed the change")
        self._metrics.changes.inc({"status": result.status})
        reply = pb.ApplyReply(
            status=result.status, version=result.version, faults=result.faults
        )
        await stream.send_message(reply)

    async def Get(self, stream: Stream[pb.GetRequest, pb.Configuration]) -> None:
        """Send the newest configuration."""
        self._authenticate(stream)
        await _receive_request(stream)
        await self._catch_up()
        configuration = self._replica.state.configuration
        await stream.send_message(configuration_to_message(configuration))

    async def History(self, stream: Stream[pb.HistoryRequest, pb.HistoryReply]) -> None:
        """Send accepted changes, newest first."""
        self._authenticate(stream)
        request = await _receive_request(stream)
        await self._catch_up()
        limit = request.limit or DEFAULT_HISTORY
        newest = self._replica.state.history[: -limit - 1 : -1]
        rows = [
            pb.HistoryRow(
                version=row.version,
                change_id=row.change_id,
                operator=row.operator,
                at=row.at,
                operations=row.operations,
            )
            for row in newest
        ]
        await stream.send_message(pb.HistoryReply(rows=rows))

    async def Status(self, stream: Stream[pb.StatusRequest, pb.StatusReply]) -> None:
        """Send the status of this replica, which needs no quorum."""
        self._authenticate(stream)
        await _receive_request(stream)
        await stream.send_message(self._describe())

    def _describe(self) -> pb.StatusReply:
        raft = self._replica.raft
        subscribers = [
            pb.Subscriber(node=subscriber.node, in_force=subscriber.in_force)
            for subscriber in self._feed.subscribers
        ]
        return pb.StatusReply(
            identity=raft.identity,
            role=raft.role.value,
            leader=raft.leader,
            term=raft.term,
            applied=self._replica.applied_index,
            version=self._replica.state.configuration.version,
            current=self._replica.is_current(),
            voters=raft.membership.voters,
            learners=raft.membership.learners,
            subscribers=subscribers,
            claims=self._replica.state.claim_count,
            failure=self._replica.failure,
        )

    async def _catch_up(self) -> None:
        """Wait until this replica has applied every change acknowledged before.

        Raises:
            GRPCError: If no quorum confirms which change is the newest.
        """
        if not await self._replica.catch_up():
            raise GRPCError(Status.UNAVAILABLE, "no quorum confirmed what is newest")

    def _authenticate(self, stream: Stream[Any, Any]) -> str:
        metadata = stream.metadata
        header = str(metadata.get("authorization", "")) if metadata else ""
        token = header.removeprefix(BEARER) if header.startswith(BEARER) else ""
        digest = hashlib.sha256(token.encode()).hexdigest()
        for name, expected in self._operators.items():
            if hmac.compare_digest(digest, expected):
                return name
        raise GRPCError(Status.UNAUTHENTICATED, "wrong operator token")


async def _receive_request(stream: Stream[T, Any]) -> T:
    request = await stream.recv_message()
    if request is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "no request")
    return request
