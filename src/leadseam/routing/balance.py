"""The choice of an upstream. No I/O.

Engines: the one with the earliest expected first token among those with room, where
shared prompt parts that would have to be read once more count several times. All
entries take the engine that rendezvous hashing ranks first for the shared parts to hold
them. Other pools: the least in flight.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.routing.engine_order import MAX_LOOKED, EngineOrders
from leadseam.routing.estimate import EstimateTable
from leadseam.routing.load import Load, LoadTable
from leadseam.routing.placement import Placement
from leadseam.routing.prompts import PromptTable
from leadseam.routing.usage import MADE_TOKEN

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from leadseam.clock import Millis
    from leadseam.control.routes import EngineProfile
    from leadseam.incarnation import Incarnation
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.wire.feed import Registration

MEMORY_PART = 0.92
"""Part of an engine's memory that is filled on purpose; lengths are guesses."""
EXPECTED_MADE = 250
"""Tokens that an answer is expected to have, where only the bound is known."""
REREAD_WEIGHT = 30.0
"""Weight of shared prompt tokens that are read once more, against others: reading them
takes room of all and drives other parts out of memory."""
RANK_STEP = 0.4
"""How much more each further engine in the order of a prompt's shared parts costs, so
that entries which cannot use the first one agree on the second."""
RUNNING_COST = 0.5
"""Milliseconds that a request in flight counts for: each makes the others a little
slower, and among engines with nothing to read the least loaded one should be taken."""


@dataclass(frozen=True, slots=True)
class _Scored:
    placement: Placement
    shared: int
    ahead: float
    wait: float
    cost: float


class _Search:
    """The search for one request's engine, and which engines need no look.

    Args:
        balancer: Estimates, and which parts engines hold.
        req: The request.
        limit: Milliseconds that the first token may take.
        now: Current time.
    """

    def __init__(
        self, balancer: Balancer, req: RoutedRequest, limit: float, now: Millis
    ) -> None:
        self.req = req
        self.limit = limit
        self.now = now
        self.memory = expected_memory(req)
        self._estimates = balancer.estimates
        self._holders: frozenset[Incarnation] = frozenset()
        self._part = 0
        if len(req.parts) > 1:
            part = req.parts[-2]
            self._part = part.tokens
            self._holders = balancer.prompts.holders(part.identity, now)

    def rules_out(self, row: Registration, place: int, best: _Scored | None) -> bool:
        """Tell whether an engine cannot be the best, by its estimate alone.

        One that does not hold the part that decides the order would read it, at a
        weight that grows with its place. So of many engines only the first few and
        those that hold the part are looked at.
        """
        if place == 0 or not self._part or row.incarnation in self._holders:
            return False
        estimate = self._estimates.engine(row)
        weight = 1 + reread_weight(place)
        least = estimate.base + weight * self._part / estimate.rate
        return least > self.limit or (best is not None and least >= best.cost)


def _all_allowed(_row: Registration, _now: Millis) -> bool:
    return True


def _ignore(_row: Registration) -> None:
    pass


class Balancer:
    """Knows loads and picks upstreams.

    Args:
        rng: Source of random numbers, for ties.
        allows: Tells whether an upstream may get one more request now. Defaults to yes.
        on_begin: Called with the upstream of each request that is sent.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        allows: Callable[[Registration, Millis], bool] = _all_allowed,
        on_begin: Callable[[Registration], None] = _ignore,
    ) -> None:
        self._on_begin = on_begin
        self._allows = allows
        self.loads = LoadTable()
        self.prompts = PromptTable()
        self.estimates = EstimateTable()
        self.orders = EngineOrders()
        self._rng = rng

    def __repr__(self) -> str:
        return f"Balancer({self.loads!r})"

    def begin(self, placement: Placement) -> None:
        """Count a request that is sent."""
        self.loads.begin(placement.upstream.incarnation, placement.load)
        self._on_begin(placement.upstream)

    def least_loaded(
        self, rows: Sequence[Registration], now: Millis
    ) -> Placement | None:
        """Return the upstream with the least in flight for its slots, or None."""
        if len(rows) > MAX_LOOKED:
            rows = self._rng.sample(rows, MAX_LOOKED)
        rows = [row for row in rows if self._allows(row, now)]
        if not rows:
            return None

        def key(row: Registration) -> tuple[float, float]:
            total = self.loads.total(row.incarnation, now)
            return total.requests / max(row.slots, 1), self._rng.random()

        return Placement(min(rows, key=key), Load(requests=1), 0)

    def with_room(
        self, rows: Sequence[Registration], limit: float, now: Millis
    ) -> frozenset[Incarnation]:
        """Return the engines that may have room for some request.

        Args:
            rows: Engines of one pool.
            limit: Most milliseconds that a first token may take.
            now: Current time.
        """
        return frozenset(
            row.incarnation for row in rows if self._is_open(row, limit, now)
        )

    def place(
        self,
        ranked: Sequence[Registration],
        req: RoutedRequest,
        profile: EngineProfile,
        limit: float,
        now: Millis,
        *,
        ahead: Millis | None = None,
        among: frozenset[Incarnation] | None = None,
    ) -> Placement | None:
        """Return the best engine with room, or None.

        Args:
            ranked: Engines that may be used, in the order of `EngineOrders`.
            req: The request.
            profile: What is stated about the engines.
            limit: Milliseconds that the first token may take.
            now: Current time.
            ahead: Most milliseconds that the engine may have to read before it, or
                None if only the first token's time counts.
            among: Engines that may have room, if that is known already.
        """
        search = _Search(self, req, limit, now)
        best: _Scored | None = None
        for place, row in enumerate(ranked):
            if among is not None and row.incarnation not in among:
                continue
            if search.rules_out(row, place, best):
                continue
            scored = self._scored_if_room(row, place, search, profile)
            if scored is None:
                continue
            if ahead is not None and scored.ahead > ahead:
                continue
            if best is None or scored.cost < best.cost:
                best = scored
        return best.placement if best is not None else None

    def alone(self, pool: str, req: RoutedRequest) -> float:
        """Return the milliseconds to a first token at an engine with nothing else.

        Args:
            pool: Pool of the engine, which holds the shared parts.
            req: The request.
        """
        return self.estimates.pool(pool).millis(own_tokens(req))

    def place_anyway(
        self, ranked: Sequence[Registration], req: RoutedRequest, now: Millis
    ) -> Placement | None:
        """Return the best engine for a request that goes on, room or not."""
        scored = [
            self._score(row, req, now, place=place)
            for place, row in enumerate(ranked)
            if self._allows(row, now)
        ]
        best = min(scored, key=lambda one: one.cost, default=None)
        return best.placement if best is not None else None

    def _scored_if_room(
        self, row: Registration, place: int, search: _Search, profile: EngineProfile
    ) -> _Scored | None:
        """Score an engine, or return None if it has no room for the request."""
        if not self._is_open(row, search.limit, search.now):
            return None
        filled = self.loads.total(row.incarnation, search.now).memory + search.memory
        if filled > profile.memory_tokens * MEMORY_PART:
            return None
        scored = self._score(row, search.req, search.now, place=place)
        # A prompt that takes too long even alone is sent where nothing waits.
        alone = scored.placement.unread == scored.placement.load.unread
        if scored.wait > search.limit and not alone:
            return None
        if scored.shared and scored.cost > search.limit:
            return None
        return scored

    def _is_open(self, row: Registration, limit: float, now: Millis) -> bool:
        """Tell whether an engine has a slot, and time for a first token."""
        total = self.loads.total(row.incarnation, now)
        if total.requests >= row.slots or not self._allows(row, now):
            return False
        waited = self.estimates.engine(row).millis(total.unread)
        return not total.unread or waited <= limit

    def _score(
        self, row: Registration, req: RoutedRequest, now: Millis, *, place: int
    ) -> _Scored:
        home = place == 0
        own, shared = self.prompts.unread(row.incarnation, req.parts, now, home=home)
        total = self.loads.total(row.incarnation, now)
        unread = total.unread + own
        estimate = self.estimates.engine(row)
        wait = estimate.millis(unread)
        penalty = reread_weight(place) * shared / estimate.rate
        load = Load(requests=1, unread=own, memory=expected_memory(req))
        cost = wait + penalty + RUNNING_COST * total.requests
        placement = Placement(row, load, unread, shared, place)
        return _Scored(placement, shared, total.unread / estimate.rate, wait, cost)


def reread_weight(place: int) -> float:
    """Return the weight of shared tokens read once more, by an engine's place."""
    return REREAD_WEIGHT * (1 + RANK_STEP * place)


def expected_memory(req: RoutedRequest) -> int:
    """Return the tokens of memory that a request is expected to hold for itself."""
    made = min(req.tokens_out, EXPECTED_MADE)
    if not req.parts:
        return req.tokens_in + made
    shared = sum(part.tokens for part in req.parts[:-1])
    # Several running requests share these; half is what each brings on average.
    return req.tokens_in - shared // 2 + made


def expected_service(req: RoutedRequest) -> int:
    """Return the service that a request is expected to take, for its account."""
    return expected_service_of_tokens(own_tokens(req), req.tokens_out)


def expected_service_of_tokens(own: int, most_made: int) -> int:
    """Return the expected service of prompt tokens and of tokens to be generated."""
    return own + MADE_TOKEN * min(most_made, EXPECTED_MADE)


def own_tokens(req: RoutedRequest) -> int:
    """Return the prompt tokens that no other request shares."""
    return req.parts[-1].tokens if req.parts else req.tokens_in
