"""What callers ask for: kinds of request, accounts of unequal size, and floods."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND
from leadseam.routing.dialect import PromptPart, RoutedRequest

if TYPE_CHECKING:
    from collections.abc import Iterator

    from leadseam.clock import Millis
    from leadseam.emulate.settings import FleetSettings, RequestKind


OWN_TOKENS_SIGMA = 0.9
"""Standard deviation of the logarithm of a prompt's own tokens: a few are very long."""
OUTPUT_TOKENS_SIGMA = 0.45
"""The same of the tokens made."""
MAX_ENTRIES_PER_ACCOUNT = 8
"""Entries that callers of the largest account use: a balancer hashes few callers."""
MIN_ENTRIES_PER_ACCOUNT = 2
CROWDED_CALLER_FRACTION = 0.5
"""Part of the callers that use the crowded entries, where there are some."""
RANKS_PER_ENTRY_LESS = 4
"""Ranks by which the number of entries falls by one."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as a caller sends it.

    Args:
        at: When.
        account: Name of the client account.
        entry: Number of the entry that it comes to.
        kind: Its kind.
        req: The request.
        made: Tokens that it will make.
    """

    at: Millis
    account: str
    entry: int
    kind: RequestKind
    req: RoutedRequest
    made: int


class ArrivalGenerator:
    """Draws arrivals; the same ones for a seed, whatever the fleet decides.

    Args:
        cfg: The fleet and what is asked of it.
        seed: Seed of all that is drawn.
    """

    def __init__(self, cfg: FleetSettings, seed: int) -> None:
        self._cfg = cfg
        self._rng = random.Random(seed)
        self._sizes = [1 / (rank + 1) for rank in range(cfg.accounts)]
        self._entries = [self._draw_entries(rank) for rank in range(cfg.accounts)]
        self._request_count = 0

    def __repr__(self) -> str:
        return f"Callers(accounts={len(self._sizes)}, rate={self._cfg.rate})"

    def arrivals(self) -> Iterator[Arrival]:
        """Yield arrivals in order of time."""
        at = 0.0
        total_size = sum(self._sizes)
        rate = self._cfg.rate / MILLIS_PER_SECOND
        while True:
            weights = self._account_weights(round(at))
            at += self._rng.expovariate(rate * sum(weights) / total_size)
            if at >= self._cfg.span:
                return
            yield self._draw_arrival(round(at), weights)

    def _draw_entries(self, rank: int) -> list[int]:
        """Draw the entries that an account's callers use."""
        count = max(
            MAX_ENTRIES_PER_ACCOUNT - rank // RANKS_PER_ENTRY_LESS,
            MIN_ENTRIES_PER_ACCOUNT,
        )
        return [self._rng.randrange(self._hashable_entries()) for _ in range(count)]

    def _hashable_entries(self) -> int:
        """Return how many entries a caller may be hashed to, from the first on."""
        crowded = self._cfg.crowded
        if crowded and self._rng.random() < CROWDED_CALLER_FRACTION:
            return min(crowded, self._cfg.entries)
        return self._cfg.entries

    def _account_weights(self, at: Millis) -> list[float]:
        weights = list(self._sizes)
        for flood in self._cfg.floods:
            if flood.at <= at < flood.at + flood.span:
                weights[flood.account] *= flood.times
        return weights

    def _draw_arrival(self, at: Millis, weights: list[float]) -> Arrival:
        rank = self._rng.choices(range(len(weights)), weights)[0]
        kinds = self._cfg.kinds
        kind = self._rng.choices(kinds, [one.weight for one in kinds])[0]
        own = round(kind.own * self._rng.lognormvariate(0, OWN_TOKENS_SIGMA)) + 1
        made = round(kind.made * self._rng.lognormvariate(0, OUTPUT_TOKENS_SIGMA)) + 1
        return Arrival(
            at=at,
            account=f"account-{rank}",
            entry=self._rng.choice(self._entries[rank]),
            kind=kind,
            req=self._make_request(kind, own),
            made=made,
        )

    def _make_request(self, kind: RequestKind, own: int) -> RoutedRequest:
        self._request_count += 1
        subject = self._rng.randrange(kind.subjects)
        parts = (
            PromptPart(f"{kind.name}-{subject}", kind.shared),
            PromptPart(f"own-{self._request_count}", own),
        )
        return RoutedRequest(
            request_id=f"r-{self._request_count}",
            host="emulated",
            method="POST",
            target="/",
            headers=(),
            key=None,
            max_wait=kind.patience,
            parts=parts,
            tokens_in=kind.shared + own,
            tokens_out=kind.made,
            resume_after=None,
        )
