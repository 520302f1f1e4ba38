"""Finds the upstreams that may continue a stream which a caller resumes.

The caller names its attempt that brought the first event, which may have used another
entry. A stream goes on only at the version that began it, in the pool that began it.
"""

from __future__ import annotations

import logging
from dataclasses import replace
from typing import TYPE_CHECKING

from leadseam.outcome import NotRun, Reason

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.feed.client import FeedClient
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.stream_origin import StreamOrigin
    from leadseam.runtime.metrics import RoutingMetrics

log = logging.getLogger(__name__)


class OriginLookup:
    """Binds resumed streams to the version that began them.

    Args:
        feed: Registered upstreams, and the streams known to replicas.
        metrics: Metrics of routed requests.
    """

    def __init__(self, feed: FeedClient, metrics: RoutingMetrics) -> None:
        self._feed = feed
        self._metrics = metrics

    def __repr__(self) -> str:
        return f"OriginLookup({self._feed.streams!r})"

    def began(self, request: AdmittedRequest, origin: StreamOrigin) -> None:
        """Record where a stream begins, or goes on if that was not known."""
        self._feed.streams.began(request.account, _first_attempt(request), origin)

    async def bind(
        self, request: AdmittedRequest, *, now: Millis
    ) -> AdmittedRequest | NotRun:
        """Restrict a request to the upstreams that may continue its stream.

        While all pools of its route have had one version, nothing is looked up.

        Returns:
            The request, or its refusal if no upstream may continue the stream, or if
            it is not known which ones may.
        """
        origin = await self._find(request, request.deadline - now)
        pools = {share.pool for share in request.route.pools}
        if origin is None or origin.pool not in pools:
            return self._without_origin(request, origin)
        bound = replace(request, pool=origin.pool, version=origin.version)
        scope = bound.scope
        if not self._feed.view.pool(scope.pool, scope.regions, scope.version):
            return self._refuse(Reason.VERSION_GONE, request, origin)
        self._metrics.resumed.inc("bound")
        return bound

    async def _find(
        self, request: AdmittedRequest, time_left: Millis
    ) -> StreamOrigin | None:
        streams = self._feed.streams
        pools = {share.pool for share in request.route.pools}
        if not any(map(streams.is_mixed, pools)):
            return None
        return await streams.find(
            request.account,
            _first_attempt(request),
            pools=pools,
            time_left=time_left,
        )

    def _without_origin(
        self, request: AdmittedRequest, origin: StreamOrigin | None
    ) -> AdmittedRequest | NotRun:
        if self._feed.streams.is_mixed(request.pool):
            # Waiting does not help: replicas are asked for longer than a row takes.
            return self._refuse(Reason.VERSION_UNKNOWN, request, origin)
        self._metrics.resumed.inc("one_version")
        return request

    def _refuse(
        self, reason: Reason, request: AdmittedRequest, origin: StreamOrigin | None
    ) -> NotRun:
        self._metrics.resumed.inc(reason.value)
        extra = {
            "request": request.req.request_id,
            "resumes": request.req.resumes,
            "reason": reason.value,
            "pool": origin.pool if origin is not None else None,
            "version": origin.version if origin is not None else None,
            "replicas": self._feed.streams.replicas,
            "silence_ms": self._feed.streams.silence(),
        }
        log.info("stream not continued", extra=extra)
        return NotRun(reason)


def _first_attempt(request: AdmittedRequest) -> str:
    """Return the id of the attempt that brought the first event of a stream."""
    return request.req.resumes or request.req.request_id
