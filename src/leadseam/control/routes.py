"""Routes: which pools serve which requests, and under what limits."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

BITS_PER_BYTE = 8
BITS_PER_MS = 1_000
"""Bits that a link of 1 Mbit/s transfers in a millisecond."""


class Repeat(StrEnum):
    """Whether a request may run more than once (`SAFE`) or not (`ONCE`)."""

    SAFE = "safe"
    ONCE = "once"


class ReplyForm(StrEnum):
    """Form of an answer: a whole body, or a stream of events."""

    WHOLE = "whole"
    EVENTS = "events"


class PoolShare(msgspec.Struct, frozen=True):
    """Share of a route's requests that is sent to one pool.

    Args:
        pool: Name of the pool.
        weight: Weight relative to the route's other pools; 0 sends nothing.
    """

    pool: str
    weight: int = 1


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route. Of a host's routes, the one with the longest matching prefix is used.

    Args:
        name: Name, unique in a configuration.
        host: Host name in the callers' requests.
        prefix: Prefix of the path, which begins and ends with a slash.
        pools: Pools that serve the requests, with their weights.
        repeat: Whether a request may run more than once.
        reply: Form of the answer.
        resumable: Whether another upstream may continue a broken event stream.
        max_attempts: Maximum number of upstreams that one request may run on.
        time_limit: Time limit of a request, in milliseconds.
        latency_objective: Milliseconds within which the first byte is in time.
        max_pause: Longest pause between events that is in time, in milliseconds; 0 for
            no limit.
        priority: Priority; 0 is the most urgent.
        anonymous: Whether requests without a key are accepted.
        regions: Regions in which requests may be served; empty allows all.
    """

    name: str
    host: str
    prefix: str
    pools: tuple[PoolShare, ...]
    repeat: Repeat = Repeat.ONCE
    reply: ReplyForm = ReplyForm.WHOLE
    resumable: bool = False
    max_attempts: int = 1
    time_limit: int = 60_000
    latency_objective: int = 1_000
    max_pause: int = 0
    priority: int = 0
    anonymous: bool = False
    regions: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Whether a request of this route may run a second time."""
        return self.repeat is Repeat.SAFE or self.resumable


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits on callers' requests, and the token capacity of all engines.

    Args:
        header_bytes: Maximum size of a request's head, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout: Milliseconds within which a head must arrive.
        idle_timeout: Milliseconds for which an idle connection is kept open.
        tokens_per_s: Tokens per second that all engines generate together; 0 if
            unknown.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: int = 3_000
    idle_timeout: int = 15_000
    tokens_per_s: int = 0


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """Properties of a pool's engines, as stated by the operator.

    Args:
        slots: Maximum number of requests in one engine's batch.
        memory_tokens: Number of tokens that fit into an engine's KV cache.
        tokens_per_event: Number of tokens in one event of a stream.
        fetches: Whether an engine can fetch cached prompt parts from another one.
        token_bytes: Bytes of one cached token; 0 if not stated.
        link_mbps: Bandwidth of an engine's link for cached tokens, in Mbit/s; 0 if not
            stated.
        event_calls: Maximum concurrent calls for cache events that an engine accepts.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1
    fetches: bool = False
    token_bytes: int = 0
    link_mbps: float = 0.0
    event_calls: int = 0

    @property
    def fetch_ms_per_token(self) -> float:
        """Milliseconds to fetch one cached token; 0 if engines cannot fetch."""
        if not self.fetches or self.token_bytes <= 0 or self.link_mbps <= 0:
            return 0.0
        return self.token_bytes * BITS_PER_BYTE / (self.link_mbps * BITS_PER_MS)


def route_faults(routes: Iterable[Route], pools: Collection[str]) -> list[str]:
    """Validate routes and return one line for each fault."""
    found: list[str] = []
    places: dict[tuple[str, str], str] = {}
    for route in routes:
        found += _one_route_faults(route, pools)
        place = (route.host, route.prefix)
        other = places.setdefault(place, route.name)
        if other != route.name:
            found.append(f"route {route.name}: same host and prefix as {other}")
    return found


def _one_route_faults(route: Route, pools: Collection[str]) -> list[str]:
    where = f"route {route.name}"
    found = [
        f"{where}: no pool {share.pool!r}"
        for share in route.pools
        if share.pool not in pools
    ]
    if any(share.weight < 0 for share in route.pools):
        found.append(f"{where}: a weight is negative")
    if sum(share.weight for share in route.pools) <= 0:
        found.append(f"{where}: the weights add up to 0")
    if route.time_limit <= 0:
        found.append(f"{where}: time_limit must be above 0")
    if not route.prefix.startswith("/") or not route.prefix.endswith("/"):
        found.append(f"{where}: prefix must begin and end with a slash")
    return found
