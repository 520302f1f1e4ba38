"""The request workload: kinds of request, accounts of unequal size, and floods."""

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
"""Standard deviation of the logarithm of a prompt's own token count.

A few prompts are very long.
"""
OUTPUT_TOKENS_SIGMA = 0.45
"""Standard deviation of the logarithm of the number of output tokens."""
MAX_ENTRIES_PER_ACCOUNT = 8
"""Number of entries that the callers of the largest account use.

An account has few callers, and the load balancer hashes each of them to one entry.
"""
MIN_ENTRIES_PER_ACCOUNT = 2
"""Number of entries that the callers of the smallest accounts use."""
CROWDED_CALLER_FRACTION = 0.5
"""Fraction of callers that are hashed to the crowded entries, if there are any."""
RANK_STEP = 4
"""Number of ranks after which an account uses one entry less."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request sent by a caller.

    Args:
        at: Time of arrival.
        account: Name of the client account.
        entry: Index of the entry that receives it.
        kind: Kind of the request.
        req: The request.
        made: Number of output tokens that it will generate.
    """

    at: Millis
    account: str
    entry: int
    kind: RequestKind
    req: RoutedRequest
    made: int

    @property
    def service(self) -> int:
        """Tokens of the whole prompt, and twice the output tokens."""
        return self.req.tokens_in + 2 * self.made


class ArrivalGenerator:
    """Generates random arrivals, which depend on the seed alone.

    Decisions of the fleet have no influence on them, so variants of a fleet get the
    same requests.

    Args:
        cfg: Settings of the fleet and its workload.
        seed: Seed of the random generator.
    """

    def __init__(self, cfg: FleetSettings, seed: int) -> None:
        self._cfg = cfg
        self._rng = random.Random(seed)
        self._sizes = [1 / (rank + 1) for rank in range(cfg.accounts)]
        self._entries = [self._draw_entries(rank) for rank in range(cfg.accounts)]
        self._request_count = 0

    def __repr__(self) -> str:
        return f"ArrivalGenerator(accounts={len(self._sizes)}, rate={self._cfg.rate})"

    def arrivals(self) -> Iterator[Arrival]:
        """Yield arrivals in chronological order."""
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
        """Draw the entries that the callers of an account are hashed to."""
        count = max(
            MAX_ENTRIES_PER_ACCOUNT - rank // RANK_STEP,
            MIN_ENTRIES_PER_ACCOUNT,
        )
        return [self._rng.randrange(self._hashable_entries()) for _ in range(count)]

    def _hashable_entries(self) -> int:
        """Return `n` if a caller may be hashed to any of the first `n` entries."""
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
        kinds = [one for one in self._cfg.kinds if not one.ranks or rank in one.ranks]
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
