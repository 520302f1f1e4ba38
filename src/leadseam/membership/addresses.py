"""Which incarnation of an upstream holds an address that several claim. No I/O.

An address is handed on when an upstream ends. A heartbeat that was held up on its way
may come after another incarnation has registered there, through any replica, and looks
like a newcomer. What an incarnation answers tells more than what is heard of it.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

PROOF: Millis = 1_500
"""Age of an answer up to which it shows that an incarnation still holds its address: a
successor does not come sooner than 2 s after the end of the one before."""

_Address = tuple[str, int]


@dataclass(slots=True)
class _Claims:
    """The incarnations that claim an address, and the one that holds it."""

    holder: Incarnation
    claimants: list[Incarnation] = field(default_factory=list)


class AddressTable:
    """Holders of the addresses of all known upstreams."""

    def __init__(self) -> None:
        self._claims: dict[_Address, _Claims] = {}
        self._answered: dict[Incarnation, Millis] = {}

    def __repr__(self) -> str:
        return f"AddressTable(addresses={len(self._claims)})"

    def holds(self, row: Registration) -> bool:
        """Tell whether an incarnation holds the address that it claims."""
        claims = self._claims.get((row.ip, row.port))
        return claims is not None and claims.holder == row.incarnation

    def claim(self, row: Registration, now: Millis) -> None:
        """Take a new incarnation; it holds its address unless another has proof."""
        address = (row.ip, row.port)
        claims = self._claims.get(address)
        if claims is None:
            self._claims[address] = _Claims(row.incarnation, [row.incarnation])
            return
        claims.claimants.append(row.incarnation)
        if not self._has_proof(claims.holder, now):
            claims.holder = row.incarnation

    def succeed(self, earlier: Registration, later: Registration) -> None:
        """Take a later start of an upstream, which holds what the earlier one held.

        Args:
            earlier: The start that is over; its claim ends.
            later: The start that serves now, maybe at another address.
        """
        held = self.holds(earlier)
        self.drop(earlier)
        # What was proved of the earlier one is void, and nothing is proved yet.
        self.claim(later, now=0)
        if held and (earlier.ip, earlier.port) == (later.ip, later.port):
            self._claims[later.ip, later.port].holder = later.incarnation

    def answered(self, incarnation: Incarnation, now: Millis) -> None:
        """Note that an incarnation has answered a request that was meant for it."""
        self._answered[incarnation] = now

    def misdirected(self, row: Registration) -> bool:
        """Note that another incarnation answers at an address.

        Returns:
            Whether the address has another holder now.
        """
        claims = self._claims.get((row.ip, row.port))
        if claims is None or claims.holder != row.incarnation:
            return False
        others = [one for one in claims.claimants if one != row.incarnation]
        if not others:
            return False
        claims.holder = others[-1]
        return True

    def drop(self, row: Registration) -> None:
        """Forget an incarnation; one that is left holds the address."""
        self._answered.pop(row.incarnation, None)
        address = (row.ip, row.port)
        claims = self._claims.get(address)
        if claims is None or row.incarnation not in claims.claimants:
            return
        claims.claimants.remove(row.incarnation)
        if not claims.claimants:
            del self._claims[address]
        elif claims.holder == row.incarnation:
            claims.holder = claims.claimants[-1]

    def _has_proof(self, incarnation: Incarnation, now: Millis) -> bool:
        at = self._answered.get(incarnation)
        return at is not None and now - at <= PROOF
