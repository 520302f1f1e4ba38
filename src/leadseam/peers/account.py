"""Account of the bytes and connections that a process holds for its peers. No I/O.

Bytes are charged before they are parsed or kept, at a price that covers the objects
made of them, and returned when these are gone. When the account is full, it names the
peers that are refused or closed so that others are served.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.clock import Millis

SMALL_HOLDING = 65_536
"""Bytes up to which a holding may use the part of the account kept for small ones."""
SMALL_PART = 0.25
"""Fraction of the account that larger holdings leave to small ones."""
LOW_WATER = 0.9
"""Fraction of its limit to which the account is emptied once it is full: each search
for peers to shed looks at all of them."""
MIN_AGE: Millis = 1_000
"""Age from which on the time of a holding counts, so that none is free at first."""


class Stage(StrEnum):
    """What a connection's bytes are for."""

    IDLE = "idle"
    ARRIVING = "arriving"
    RUNNING = "running"
    CLOSING = "closing"


_UNUSED = (Stage.IDLE, Stage.CLOSING)
_NOT_RUNNING = (Stage.IDLE, Stage.ARRIVING)


class Shortage(StrEnum):
    """What was short when a peer was refused or closed."""

    BYTES = "bytes"
    CONNECTIONS = "connections"


class Holding:
    """What is held for one connection.

    Args:
        address: Address of the peer, for logs.

    Attributes:
        held: Bytes that are charged.
        stage: What they are for.
        since: When that stage began.
    """

    __slots__ = ("address", "held", "since", "stage")

    def __init__(self, address: str, since: Millis) -> None:
        self.address = address
        self.held = 0
        self.stage = Stage.IDLE
        self.since = since

    def __repr__(self) -> str:
        return f"Holding({self.address!r}, {self.held} bytes, {self.stage})"

    def cost(self, now: Millis, more: int = 0) -> int:
        """Return how much a connection uses: its bytes by their time."""
        return (self.held + more) * max(now - self.since, MIN_AGE)


@dataclass(frozen=True, slots=True)
class Granted:
    """The charge was made.

    Args:
        shed: Holdings that have to be refused or closed. Their bytes no longer count.
    """

    shed: tuple[Holding, ...] = ()


@dataclass(frozen=True, slots=True)
class Full:
    """The charge was not made.

    Args:
        shortage: What is short.
    """

    shortage: Shortage


GRANTED = Granted()


class PeerAccount:
    """All holdings of a process, and the decision who is shed when it is full.

    If bytes are short, the connections go first whose bytes times age are highest, be
    they idle or with a request that has not arrived completely; that may be the one
    that asks for more. If connections are short, idle ones go first. Requests that run
    are never shed. A connection that was shed for its bytes counts as one until it is
    closed.

    Args:
        max_bytes: Bytes that may be charged.
        max_connections: Connections that may be open.
    """

    def __init__(self, *, max_bytes: int, max_connections: int) -> None:
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.held = 0
        self._holdings: set[Holding] = set()

    def __repr__(self) -> str:
        return f"PeerAccount({len(self)} connections, {self.held} bytes)"

    def __len__(self) -> int:
        return len(self._holdings)

    def open(self, holding: Holding, price: int, now: Millis) -> Granted | Full:
        """Add a connection.

        Args:
            holding: What is held for it: nothing yet.
            price: Bytes that an open connection takes.
            now: Current time.
        """
        victim: Holding | None = None
        if len(self._holdings) >= self.max_connections:
            victim = next(iter(self._unused() or self._by_cost(now)), None)
            if victim is None:
                return Full(Shortage.CONNECTIONS)
        self._holdings.add(holding)
        found = self.take(holding, price, now)
        if isinstance(found, Full):
            self.close(holding)
            return found
        if victim is None:
            return found
        self.close(victim)
        return Granted((victim, *(one for one in found.shed if one is not victim)))

    def take(self, holding: Holding, size: int, now: Millis) -> Granted | Full:
        """Charge bytes to a holding that are about to be kept or parsed."""
        limit = self._limit_of(holding, size)
        if self.held + size <= limit:
            holding.held += size
            self.held += size
            return GRANTED
        shed = self._find_shed(holding, size, limit, now)
        if shed is None:
            return Full(Shortage.BYTES)
        for victim in shed:
            self.give_back(victim, victim.held)
            self.set_stage(victim, Stage.CLOSING, now)
        holding.held += size
        self.held += size
        return Granted(tuple(shed))

    def give_back(self, holding: Holding, size: int) -> None:
        """Return bytes that are no longer held; none for a closed holding."""
        if holding in self._holdings:
            size = min(size, holding.held)
            holding.held -= size
            self.held -= size

    def set_stage(self, holding: Holding, stage: Stage, now: Millis) -> None:
        """Record what a holding's bytes are for from now on."""
        if holding.stage is not stage:
            holding.stage = stage
            holding.since = now

    def close(self, holding: Holding) -> None:
        """Remove a connection with all that is held for it."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held -= holding.held
            holding.held = 0

    def usage(self) -> dict[Stage, tuple[int, int]]:
        """Return the number of connections and their bytes in each stage."""
        counts = Counter(one.stage for one in self._holdings)
        held: Counter[Stage] = Counter()
        for one in self._holdings:
            held[one.stage] += one.held
        return {stage: (counts[stage], held[stage]) for stage in Stage}

    def largest(self) -> tuple[str, int, int]:
        """Return the address that holds most, its connections and its bytes."""
        held: Counter[str] = Counter()
        counts: Counter[str] = Counter()
        for one in self._holdings:
            held[one.address] += one.held
            counts[one.address] += 1
        if not held:
            return "", 0, 0
        address, size = held.most_common(1)[0]
        return address, counts[address], size

    def _limit_of(self, holding: Holding, size: int) -> int:
        if holding.held + size <= SMALL_HOLDING:
            return self.max_bytes
        return round(self.max_bytes * (1 - SMALL_PART))

    def _find_shed(
        self, holding: Holding, size: int, limit: int, now: Millis
    ) -> list[Holding] | None:
        """Return whom to shed so that bytes fit, or None if the holding comes first."""
        excess = self.held + size - limit
        spare = round(limit * (1 - LOW_WATER))
        own_cost = holding.cost(now, size)
        shed: list[Holding] = []
        found = 0
        for victim in self._by_cost(now):
            if found >= excess + spare or victim.cost(now) <= own_cost:
                break
            if victim is holding:
                continue
            shed.append(victim)
            found += victim.held
        return shed if found >= excess else None

    def _unused(self) -> list[Holding]:
        """Return the connections that no request needs, the oldest first."""
        found = [one for one in self._holdings if one.stage in _UNUSED]
        return sorted(found, key=lambda one: one.since)

    def _by_cost(self, now: Millis) -> list[Holding]:
        """Return the connections that no request runs on, the costliest first."""
        found = [one for one in self._holdings if one.stage in _NOT_RUNNING]
        return sorted(found, key=lambda one: (-one.cost(now), one.since))
