"""The control replicas that a node may follow, and which one it tries next. No I/O.

The addresses come from the node's settings and from the lists of members that followed
replicas send. An address that is in none of these any more is removed: otherwise each
replaced box would be dialled forever and delay the search for a reachable replica.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.settings.models import Endpoint


class ReplicaDirectory:
    """Addresses of control replicas, ordered by when they were last tried.

    Args:
        seeds: Addresses from the settings, in the order in which they are tried first.
    """

    def __init__(self, seeds: Iterable[Endpoint]) -> None:
        self._seeds = tuple(seeds)
        self._members_by_replica: dict[Endpoint, frozenset[Endpoint]] = {}
        self._order = list(self._seeds)

    def __repr__(self) -> str:
        return f"ReplicaDirectory({self._order!r})"

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """All addresses, in the order in which they are tried."""
        return tuple(self._order)

    def set_seeds(self, seeds: Iterable[Endpoint]) -> None:
        """Replace the addresses from the settings."""
        self._seeds = tuple(seeds)
        self._refresh()

    def set_members(self, by: Endpoint, members: Iterable[Endpoint]) -> None:
        """Replace the list of members that a followed replica has sent."""
        self._members_by_replica[by] = frozenset(members)
        self._refresh()

    def replica_lost(self, replica: Endpoint) -> None:
        """Drop the list of a replica that is no longer followed, unless it is the last.

        The last list is kept, so that with all replicas lost their addresses are still
        tried.
        """
        if len(self._members_by_replica) > 1:
            self._members_by_replica.pop(replica, None)
            self._refresh()

    def next(self, followed: Collection[Endpoint]) -> Endpoint | None:
        """Return the least recently tried address that is not followed, if any."""
        for position, endpoint in enumerate(self._order):
            if endpoint not in followed:
                self._order.append(self._order.pop(position))
                return endpoint
        return None

    def _refresh(self) -> None:
        known = set(self._seeds).union(*self._members_by_replica.values())
        kept = [endpoint for endpoint in self._order if endpoint in known]
        self._order = kept + sorted(known - set(kept), key=str)
