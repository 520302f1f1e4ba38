"""Resolves which incarnation holds an address that several claim. No I/O.

An address is reused when an upstream ends. A delayed heartbeat may arrive through any
replica after another incarnation has registered at the address, and then looks like a
new upstream. An answer from an incarnation is better evidence than a heartbeat.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.incarnation import Incarnation
    from leadseam.wire.feed import Registration

PROOF_TTL: Millis = 1_500
"""Age of an answer up to which it proves that an incarnation still holds its address: a
successor does not start sooner than 2 s after its predecessor has ended."""

_Address = tuple[str, int]


@dataclass(slots=True)
class _Claims:
    """The incarnations that claim an address, and the one that holds it."""

    holder: Incarnation
    claimants: list[Incarnation] = field(default_factory=list)


class AddressTable:
    """Claims on the addresses of all registered upstreams, and their holders."""

    def __init__(self) -> None:
        self._claims: dict[_Address, _Claims] = {}
        self._answered_at: dict[Incarnation, Millis] = {}

    def __repr__(self) -> str:
        return f"AddressTable(addresses={len(self._claims)})"

    def holds(self, row: Registration) -> bool:
        """Return whether an incarnation holds the address that it claims."""
        claims = self._claims.get((row.ip, row.port))
        return claims is not None and claims.holder == row.incarnation

    def is_claimed(self, row: Registration) -> bool:
        """Return whether any registered incarnation claims the address of a row."""
        return (row.ip, row.port) in self._claims

    def claim(self, row: Registration, now: Millis) -> None:
        """Add a new incarnation; it gets its address unless the holder has proof."""
        address = (row.ip, row.port)
        claims = self._claims.get(address)
        if claims is None:
            self._claims[address] = _Claims(row.incarnation, [row.incarnation])
            return
        claims.claimants.append(row.incarnation)
        if not self._has_proof(claims.holder, now):
            claims.holder = row.incarnation

    def succeed(self, earlier: Registration, later: Registration) -> None:
        """Replace an incarnation by a later start, which inherits its address.

        Args:
            earlier: The start that has ended; its claim is removed.
            later: The start that runs now, possibly at another address.
        """
        held = self.holds(earlier)
        self.drop(earlier)
        # Answers of the earlier start are no proof for the later one.
        self.claim(later, now=0)
        if held and (earlier.ip, earlier.port) == (later.ip, later.port):
            self._claims[later.ip, later.port].holder = later.incarnation

    def answered(self, incarnation: Incarnation, now: Millis) -> None:
        """Record that an incarnation has answered a request that was meant for it."""
        self._answered_at[incarnation] = now

    def misdirected(self, row: Registration) -> bool:
        """Record that another incarnation answers at an address.

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
        """Remove an incarnation; the last remaining claimant inherits its address."""
        self._answered_at.pop(row.incarnation, None)
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
        answered_at = self._answered_at.get(incarnation)
        return answered_at is not None and now - answered_at <= PROOF_TTL
