"""The order in which all entries prefer the engines of a pool for a prompt. No I/O.

The order comes from rendezvous hashing over the last part that a prompt shares with
others: entries agree without communicating, and an engine that joins or leaves moves
few prompts. In a large pool a request only considers the first engines of its order and
a few others, so that the cost of placing it does not grow with the pool.

An order may prefer the engines of one failure domain. Each domain then has its own
first engine for a prompt, and fewer requests cross between domains.
"""

from __future__ import annotations

import heapq
from collections import OrderedDict
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

MAX_CACHED_ORDERS = 4_096
"""Maximum cached orders of a pool, about 2 MB."""
RANKED_CANDIDATES = 64
"""Engines of a large pool that a request considers in the order of its prompt."""
SAMPLED_CANDIDATES = 32
"""Further engines of a large pool that a request considers, sampled by its id."""
MAX_CANDIDATES = RANKED_CANDIDATES + SAMPLED_CANDIDATES
"""Size of a pool up to which all its engines are considered."""


class EngineOrders:
    """Caches orders while the engines of a pool stay the same."""

    def __init__(self) -> None:
        self._rows: dict[Scope, Sequence[Registration]] = {}
        self._orders: dict[
            Scope, OrderedDict[tuple[str, str], Sequence[Registration]]
        ] = {}

    def __repr__(self) -> str:
        return f"EngineOrders(pools={len(self._orders)})"

    def order_for(
        self,
        scope: Scope,
        rows: Sequence[Registration],
        req: RoutedRequest,
        *,
        near: str = "",
    ) -> Sequence[Registration]:
        """Return the engines that a request considers, the preferred one first.

        Args:
            scope: Pool and regions that the request may be sent to.
            rows: Usable engines of the scope.
            req: The request.
            near: Failure domain whose engines are preferred, or an empty string.
        """
        affinity = affinity_key(req)
        if affinity is None:
            return _sample(rows, req, MAX_CANDIDATES)
        first = self._cached_order(scope, rows, affinity, near)
        if len(rows) <= MAX_CANDIDATES:
            return first
        return [*first, *_sample(rows, req, SAMPLED_CANDIDATES)]

    def _cached_order(
        self, scope: Scope, rows: Sequence[Registration], affinity: str, near: str
    ) -> Sequence[Registration]:
        known = self._rows.get(scope)
        if known is not rows and known != rows:
            self._rows[scope] = rows
            self._orders[scope] = OrderedDict()
        orders = self._orders[scope]
        key = (affinity, near)
        order = orders.get(key)
        if order is None:
            order = orders[key] = _by_weight(rows, affinity, near)
        orders.move_to_end(key)
        if len(orders) > MAX_CACHED_ORDERS:
            orders.popitem(last=False)
        return order


def ranked_for(
    rows: Sequence[Registration], req: RoutedRequest
) -> Sequence[Registration]:
    """Return engines in the order in which all entries prefer them for a prompt.

    If there are more than `MAX_CANDIDATES`, only the first `RANKED_CANDIDATES` are
    returned.
    """
    affinity = affinity_key(req)
    if affinity is None:
        return rows
    return _by_weight(rows, affinity)


def _by_weight(
    rows: Sequence[Registration], affinity: str, near: str = ""
) -> Sequence[Registration]:
    """Return engines by descending weight; of a large pool only the first ones.

    Those of the failure domain `near`, if any, come before all others.
    """

    def weight(row: Registration) -> tuple[bool, int]:
        return bool(near) and row.failure_domain == near, rendezvous_weight(
            affinity, row
        )

    if len(rows) <= MAX_CANDIDATES:
        return sorted(rows, key=weight, reverse=True)
    return heapq.nlargest(RANKED_CANDIDATES, rows, key=weight)


def _sample(
    rows: Sequence[Registration], req: RoutedRequest, count: int
) -> Sequence[Registration]:
    """Return engines sampled by the request's id, or all if there are few."""
    if len(rows) <= count:
        return rows
    start = xxhash.xxh3_64_intdigest(req.request_id.encode()) % len(rows)
    picked = rows[start : start + count]
    return [*picked, *rows[: count - len(picked)]]


def affinity_key(req: RoutedRequest) -> str | None:
    """Return the identity of the last part shared with other requests, or None.

    The last part of a prompt is the request's own, so this is the part before it. Of a
    prompt with one part it is that part.
    """
    if not req.parts:
        return None
    return req.parts[max(len(req.parts) - 2, 0)].identity


def rendezvous_weight(affinity: str, row: Registration) -> int:
    """Return the rendezvous hashing weight of an upstream for an affinity key."""
    return xxhash.xxh3_64_intdigest(f"{affinity}/{row.ip}:{row.port}".encode())
