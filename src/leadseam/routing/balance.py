"""The choice of an upstream from what this entry knows by itself. No I/O.

Engines: rendezvous hashing on the shared part of the prompt, so that all entries send
the same prompts to the same engine, unless that engine has clearly more in flight than
the others; then the next one in that order. Other pools: the least in flight.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    import random
    from collections.abc import Sequence

    from leadseam.routing.dialect import RoutedRequest
    from leadseam.wire.messages import Registration

LOAD_FACTOR = 1.5
"""An engine takes a prompt of its own up to this multiple of the mean in flight."""
LOAD_SLACK = 3
"""Requests that an engine may have above that multiple, so that an idle pool keeps its
order. Both figures: trials on two deployments, see docs/design/platform.md."""


@dataclass(slots=True)
class _Load:
    in_flight: int = 0


class Balancer:
    """Counts this entry's requests in flight and picks upstreams.

    Args:
        rng: Source of random numbers, for ties.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._loads: dict[str, _Load] = {}

    def __repr__(self) -> str:
        return f"Balancer(upstreams={len(self._loads)})"

    def in_flight(self, instance: str) -> int:
        """Return this entry's requests in flight at an upstream."""
        load = self._loads.get(instance)
        return load.in_flight if load is not None else 0

    def begin(self, instance: str, req: RoutedRequest) -> None:
        """Count a request that is sent."""
        self._loads.setdefault(instance, _Load()).in_flight += 1

    def end(self, instance: str, req: RoutedRequest) -> None:
        """Count a request that has ended."""
        load = self._loads[instance]
        load.in_flight -= 1
        if load.in_flight <= 0:
            del self._loads[instance]

    def pick(
        self, candidates: Sequence[Registration], req: RoutedRequest
    ) -> Registration | None:
        """Return the upstream for a request, or None if there is no candidate."""
        if not candidates:
            return None
        affinity = affinity_key(req)
        if affinity is None:
            return min(candidates, key=self._least_loaded)
        return self._by_affinity(candidates, affinity)

    def _least_loaded(self, row: Registration) -> tuple[float, float]:
        return self.in_flight(row.instance) / max(row.slots, 1), self._rng.random()

    def _by_affinity(
        self, candidates: Sequence[Registration], affinity: str
    ) -> Registration:
        loads = [self.in_flight(row.instance) for row in candidates]
        limit = LOAD_FACTOR * sum(loads) / len(loads) + LOAD_SLACK
        ranked = sorted(candidates, key=lambda row: rank(affinity, row), reverse=True)
        for row in ranked:
            if self.in_flight(row.instance) < limit:
                return row
        return min(candidates, key=self._least_loaded)


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
