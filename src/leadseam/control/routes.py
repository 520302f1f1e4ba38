"""Routes: which callers' requests go to which pools, and under what limits."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable


class Repeat(StrEnum):
    """How often a request may run."""

    SAFE = "safe"
    ONCE = "once"


class ReplyForm(StrEnum):
    """What an answer looks like."""

    WHOLE = "whole"
    EVENTS = "events"


class PoolShare(msgspec.Struct, frozen=True):
    """Part of a route's requests that goes to one pool.

    Args:
        pool: Name of the pool.
        weight: Weight against the route's other pools; 0 sends nothing.
    """

    pool: str
    weight: int = 1


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """One route; the longest matching prefix of a host wins.

    Args:
        name: Name, unique in a configuration.
        host: Host name that callers address.
        prefix: Start of the path; begins and ends with a slash.
        pools: Where requests go.
        repeat: Whether a request may run more than once.
        reply: Form of the answer.
        resumable: Whether a broken event stream may go on at another upstream.
        max_attempts: Upstreams that one request may run on.
        time_limit: Milliseconds after which a request is given up.
        latency_objective: Milliseconds within which the first byte is in time.
        max_pause: Longest pause between events in time, in ms; 0 for no such limit.
        priority: Rank, 0 is the most urgent.
        anonymous: Whether a request without a key is taken.
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
    """Bounds on what a caller may send, and the pools' token capacity.

    Args:
        header_bytes: Largest request head.
        body_bytes: Largest request body.
        header_timeout: Milliseconds in which a head must have arrived.
        idle_timeout: Milliseconds that an idle connection is kept.
        tokens_per_s: Tokens a second that all engines make together; 0 if unknown.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: int = 3_000
    idle_timeout: int = 15_000
    tokens_per_s: int = 0


class EngineProfile(msgspec.Struct, frozen=True, kw_only=True):
    """What an operator states about the engines of a pool.

    Args:
        slots: Requests that one engine runs in a batch.
        memory_tokens: Tokens that fit into its KV cache.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int = 1


def route_faults(routes: Iterable[Route], pools: Collection[str]) -> list[str]:
    """Name everything that is wrong with routes, one line each."""
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
