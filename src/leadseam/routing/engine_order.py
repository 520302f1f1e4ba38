"""The order in which all entries prefer the engines of a pool for a prompt. No I/O.

Rendezvous hashing over the last part that a prompt shares with others: entries agree
without a word, and an engine that comes or goes moves few prompts. Of a large pool a
request looks at the first engines of its order and at a few others, so that its cost
does not grow with the pool.
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

MAX_ORDERS = 4_096
"""Orders kept for a pool: some 2 MB."""
FIRST_LOOKED = 64
"""Engines that a request looks at in the order of its prompt, in a large pool."""
OTHERS_LOOKED = 32
"""Further engines of a large pool that it looks at, drawn for each request."""
MAX_LOOKED = FIRST_LOOKED + OTHERS_LOOKED
"""Engines of a pool up to which all are looked at."""


class EngineOrders:
    """Keeps orders while the engines of a pool stay the same."""

    def __init__(self) -> None:
        self._rows: dict[Scope, Sequence[Registration]] = {}
        self._orders: dict[Scope, OrderedDict[str, Sequence[Registration]]] = {}

    def __repr__(self) -> str:
        return f"EngineOrders(pools={len(self._orders)})"

    def order_for(
        self, scope: Scope, rows: Sequence[Registration], req: RoutedRequest
    ) -> Sequence[Registration]:
        """Return the engines that a request looks at, the preferred one first.

        Args:
            scope: Where the request may go.
            rows: Its engines that may be used.
            req: The request.
        """
        affinity = affinity_key(req)
        if affinity is None:
            return _drawn(rows, req, MAX_LOOKED)
        first = self._first(scope, rows, affinity)
        if len(rows) <= MAX_LOOKED:
            return first
        return [*first, *_drawn(rows, req, OTHERS_LOOKED)]

    def _first(
        self, scope: Scope, rows: Sequence[Registration], affinity: str
    ) -> Sequence[Registration]:
        known = self._rows.get(scope)
        if known is not rows and known != rows:
            self._rows[scope] = rows
            self._orders[scope] = OrderedDict()
        orders = self._orders[scope]
        order = orders.get(affinity)
        if order is None:
            order = orders[affinity] = _ranked(rows, affinity)
        orders.move_to_end(affinity)
        if len(orders) > MAX_ORDERS:
            orders.popitem(last=False)
        return order


def ranked_for(
    rows: Sequence[Registration], req: RoutedRequest
) -> Sequence[Registration]:
    """Return engines in the order in which all entries prefer them for a prompt.

    Of more than `MAX_LOOKED` only the first ones are returned.
    """
    affinity = affinity_key(req)
    if affinity is None:
        return rows
    return _ranked(rows, affinity)


def _ranked(rows: Sequence[Registration], affinity: str) -> Sequence[Registration]:
    """Return engines by rendezvous weight, only the first ones of many."""

    def weight(row: Registration) -> int:
        return rank(affinity, row)

    if len(rows) <= MAX_LOOKED:
        return sorted(rows, key=weight, reverse=True)
    return heapq.nlargest(FIRST_LOOKED, rows, key=weight)


def _drawn(
    rows: Sequence[Registration], req: RoutedRequest, count: int
) -> Sequence[Registration]:
    """Return some engines that differ from request to request, all if they are few."""
    if len(rows) <= count:
        return rows
    start = xxhash.xxh3_64_intdigest(req.request_id.encode()) % len(rows)
    picked = rows[start : start + count]
    return [*picked, *rows[: count - len(picked)]]


def affinity_key(req: RoutedRequest) -> str | None:
    """Return the identity of the last part that other requests share, or None.

    The very last part of a prompt is the request's own.
    """
    if not req.parts:
        return None
    return req.parts[max(len(req.parts) - 2, 0)].identity


def rank(affinity: str, row: Registration) -> int:
    """Return the rendezvous weight of an upstream for a key."""
    return xxhash.xxh3_64_intdigest(f"{affinity}/{row.ip}:{row.port}".encode())
