"""Which upstreams a request may go to, before anything is known of their load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from collections.abc import Iterable

Regions: TypeAlias = "frozenset[str] | None"
"""Regions that are allowed, or None for all."""


@dataclass(frozen=True, slots=True)
class Scope:
    """A pool, and the regions to which a request is bound.

    Args:
        pool: Name of the pool.
        regions: Regions in which it may be served, or None for all.
    """

    pool: str
    regions: Regions = None


def allowed_regions(*bound: Iterable[str]) -> Regions:
    """Return the regions that all bounds allow; an empty bound allows all."""
    allowed: Regions = None
    for regions in map(frozenset, bound):
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed
