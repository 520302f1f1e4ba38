"""Chooses the entry that a busy entry hands a connection over to. No I/O.

All callers of some client accounts use one entry. When that entry has no processor time
left, pauses and redirects don't help: callers return to it. Passing bytes on takes a
small part of the processor time of serving, and about as much as refusing.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis
    from leadseam.wire.feed import RoomOffer

MAX_OFFERS = 8
"""Offers of room in sums for each failure domain, some 30 bytes each. Successive sums
name others in turn."""
MAX_OFFER_AGE: Millis = 1_000
"""Age above which an offer is ignored: five times the longest interval of reports."""
MAX_LINKS = 8
"""Entries that one entry keeps links to: a link costs pings, and more of them spread
the connections of one entry no better."""
LINK_IDLE_TIME: Millis = 10_000
"""Time without use after which a link is closed. Floods come several in a row."""
LOST_PAUSE: Millis = 1_000
"""Time for which an entry is left alone whose link was lost or could not be opened."""
REJECTED_PAUSE: Millis = 200
"""Time for which an entry is left alone that has rejected a connection: two intervals
of the reports that tell that it has no room."""
MAX_HANDED_BODY = 262_144
"""Largest body that is handed over. It is held here until it is written to the link,
and large ones are rare."""


@dataclass(frozen=True, slots=True)
class HandOver:
    """Decision to hand a connection over.

    Args:
        target: Address of the entry that takes it, as "IP:PORT".
    """

    target: str


class _LinkState(Enum):
    NONE = auto()
    OPENING = auto()
    OPEN = auto()


@dataclass(slots=True)
class _Target:
    offer: RoomOffer
    offered_at: Millis
    link: _LinkState = _LinkState.NONE
    paused_until: Millis = 0
    used_at: Millis = 0


class HandOverTargets:
    """Entries of the same failure domain that offer room, and links to them.

    Args:
        failure_domain: Failure domain of this entry. Bytes between failure domains
            cost, so connections stay within it.
        address: Internal address of this entry, as "IP:PORT".
    """

    def __init__(self, failure_domain: str = "", address: str = "") -> None:
        self._failure_domain = failure_domain
        self._address = address
        self._targets: dict[str, _Target] = {}
        self._handed: Counter[str] = Counter()
        self._wanted_at: Millis | None = None

    def __repr__(self) -> str:
        return f"HandOverTargets({len(self._targets)}, handed={self.handed})"

    @property
    def handed(self) -> int:
        """Number of connections that are handed over now."""
        return self._handed.total()

    def apply(self, offers: Iterable[RoomOffer], now: Millis) -> None:
        """Apply the offers in the newest sums."""
        own_domain = [
            one for one in offers if one.failure_domain == self._failure_domain
        ]
        if len(own_domain) < MAX_OFFERS:
            # All entries with room are named.
            for target in self._targets.values():
                target.offered_at = now - MAX_OFFER_AGE - 1
        for offer in own_domain:
            if offer.address == self._address:
                continue
            known = self._targets.setdefault(offer.address, _Target(offer, now))
            known.offer, known.offered_at = offer, now
        for address, target in list(self._targets.items()):
            is_needed = target.link is not _LinkState.NONE or now < target.paused_until
            if now - target.offered_at > MAX_OFFER_AGE and not is_needed:
                del self._targets[address]

    def choose(self, now: Millis) -> HandOver | None:
        """Return the entry to hand a connection over to, or None if there is none.

        It is the one with the fewest connections from here for its processor time. Only
        entries with an open link are chosen; links are opened from the first call on.
        """
        self._wanted_at = now
        usable = [
            address
            for address, target in self._targets.items()
            if target.link is _LinkState.OPEN and self._is_usable(target, now)
        ]
        if not usable:
            return None
        return HandOver(min(usable, key=self._crowding))

    def links_to_open(self, now: Millis) -> list[str]:
        """Return the addresses of entries to which links are to be opened now.

        Each counts as being opened until `linked` or `lost` is called.
        """
        if self._wanted_at is None or now - self._wanted_at > LINK_IDLE_TIME:
            return []
        unlinked = [
            target
            for target in self._targets.values()
            if target.link is _LinkState.NONE and self._is_usable(target, now)
        ]
        linked = sum(one.link is not _LinkState.NONE for one in self._targets.values())
        unlinked.sort(key=lambda one: -one.offer.processor_share)
        chosen = unlinked[: max(MAX_LINKS - linked, 0)]
        for target in chosen:
            target.link = _LinkState.OPENING
        return [target.offer.address for target in chosen]

    def is_idle(self, address: str, now: Millis) -> bool:
        """Return whether a link has not been used for `LINK_IDLE_TIME`."""
        target = self._targets[address]
        return (
            not self._handed[address]
            and self._wanted_at is not None
            and now - max(target.used_at, self._wanted_at) > LINK_IDLE_TIME
        )

    def linked(self, address: str) -> None:
        """Record that a link has been opened."""
        self._targets[address].link = _LinkState.OPEN

    def lost(self, address: str, now: Millis) -> None:
        """Record that a link has ended, or could not be opened."""
        target = self._targets[address]
        target.link = _LinkState.NONE
        target.paused_until = now + LOST_PAUSE
        del self._handed[address]

    def opened(self, address: str, now: Millis) -> None:
        """Record that a connection has been handed over."""
        self._targets[address].used_at = now
        self._handed[address] += 1

    def closed(self, address: str) -> None:
        """Record that a handed connection has ended."""
        if self._handed[address]:
            self._handed[address] -= 1

    def rejected(self, address: str, now: Millis) -> None:
        """Record that an entry has not taken a connection over."""
        self._targets[address].paused_until = now + REJECTED_PAUSE

    def _is_usable(self, target: _Target, now: Millis) -> bool:
        is_offered = now - target.offered_at <= MAX_OFFER_AGE
        return is_offered and now >= target.paused_until

    def _crowding(self, address: str) -> float:
        share = max(self._targets[address].offer.processor_share, 1)
        return (self._handed[address] + 1) / share
