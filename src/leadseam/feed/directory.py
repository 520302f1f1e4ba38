"""Which control replicas a node may follow, and which one it tries next. No I/O.

A node knows the replicas of its settings, and each replica that it follows tells it the
members of the group. One that neither names any more is gone: it is not tried again, or
every box ever replaced would be dialled for good and delay the search for a live one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.settings.models import Endpoint


class ReplicaDirectory:
    """Addresses of control replicas, the one tried longest ago first.

    Args:
        seeds: Addresses from the settings, in the order in which they are tried.
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
        """Take the addresses of new settings in place of the earlier ones."""
        self._seeds = tuple(seeds)
        self._refresh()

    def set_members(self, by: Endpoint, members: Iterable[Endpoint]) -> None:
        """Take the members of the group as a replica that is followed knows them."""
        self._members_by_replica[by] = frozenset(members)
        self._refresh()

    def replica_lost(self, replica: Endpoint) -> None:
        """Note that a replica is no longer followed; the last one's word is kept."""
        if len(self._members_by_replica) > 1:
            self._members_by_replica.pop(replica, None)
            self._refresh()

    def next(self, followed: Collection[Endpoint]) -> Endpoint | None:
        """Return the address tried longest ago that is not followed, if any."""
        for position, endpoint in enumerate(self._order):
            if endpoint not in followed:
                self._order.append(self._order.pop(position))
                return endpoint
        return None

    def _refresh(self) -> None:
        wanted = set(self._seeds).union(*self._members_by_replica.values())
        kept = [endpoint for endpoint in self._order if endpoint in wanted]
        self._order = kept + sorted(wanted - set(kept), key=str)
