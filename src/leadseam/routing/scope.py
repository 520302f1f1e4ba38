"""The upstreams that a request may use, regardless of their load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable

Regions: TypeAlias = "frozenset[str] | None"
"""Allowed regions, or None for all."""


@dataclass(frozen=True, slots=True)
class Scope:
    """A pool, and what a request is restricted to within it.

    Args:
        pool: Name of the pool.
        regions: Regions in which the request may be served, or None for all.
        version: Version that must serve it, as it has begun the stream, or None.
    """

    pool: str
    regions: Regions = None
    version: str | None = None


def allowed_regions(*bound: Iterable[str]) -> Regions:
    """Return the regions that all restrictions allow; an empty one allows all."""
    allowed: Regions = None
    for regions in map(frozenset, bound):
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed
