"""Scores upstreams and picks one for each request. No I/O.

For an engine pool, the balancer picks the engine with the earliest expected first token
among those with capacity. Shared prompt parts that would have to be read again are
weighted several times. All entries assume that the engine ranked first by rendezvous
hashing holds the shared parts, unless it is known which engines hold them, as
`PrefixFetch` states. For other pools, it picks the upstream with the fewest requests in
flight per slot.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.routing.engine_order import MAX_CANDIDATES, EngineOrders
from leadseam.routing.estimate import EstimateTable
from leadseam.routing.load import Load, LoadTable
from leadseam.routing.placement import Placement
from leadseam.routing.prompts import PromptTable
from leadseam.routing.usage import GENERATED_TOKEN_WEIGHT

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Sequence

    from leadseam.clock import Millis
    from leadseam.control.routes import EngineProfile
    from leadseam.incarnation import Incarnation
    from leadseam.routing.dialect import PromptPart, RoutedRequest
    from leadseam.routing.prefix_fetch import FetchPlan, PrefixFetch, PrefixLookup
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

MEMORY_PART = 0.92
"""Fraction of an engine's memory that may be filled. The rest is a margin, because the
lengths of answers are estimates."""
EXPECTED_GENERATED = 250
"""Expected number of generated tokens, where only the upper bound is known."""
REREAD_WEIGHT = 30.0
"""Weight of a shared prompt token that is read again, relative to other tokens. Reading
it again takes capacity from all requests and evicts other parts from memory."""
FETCH_WEIGHT = 1.2
"""Weight of a shared prompt token that is fetched, or that no engine holds, relative to
the time to prefill it. A copy takes memory of the engine, but little of its time."""
ASSUMED_FETCH_WEIGHT = 6.0
"""The same weight if the source is only assumed to hold the token. It lies between the
other two: if many parts were placed off the engine that holds them, no engine would
keep them."""
RANK_STEP = 0.4
"""Increase of the weight per position in the engine order of a prompt. It makes entries
that cannot use the first engine agree on the second."""
MAX_NEAR_TOKENS = 1_000
"""Shared tokens up to which each failure domain has its own preferred engine for a
prompt. Longer prefixes take too much memory to keep a copy in each domain."""
DISTANT_COST = 20.0
"""Cost in milliseconds of an engine in another failure domain. Bytes between domains
are limited, and an engine nearby that answers this much later is preferred."""
MAX_COMPARED = 4
"""Engines with capacity that are compared where engines fetch prompt parts, beside
those that hold the prefix. Without a limit placing took 313 us at 29 engines instead
of 43 us, which a small box that is flooded cannot spare. Copies also stay with the
first engines of the order."""
RUNNING_COST = 0.5
"""Cost in milliseconds of each request in flight. Each request slows the others a
little, and among engines with nothing to read the least loaded one should be picked."""


@dataclass(frozen=True, slots=True)
class _Scored:
    """A possible placement and its cost.

    Args:
        placement: The placement.
        shared: Shared prompt tokens that would have to be read again, although another
            engine holds them.
        wait: Expected milliseconds to the first token.
        cost: Weighted cost in milliseconds; the lowest is picked.
    """

    placement: Placement
    shared: int
    wait: float
    cost: float


class _Search:
    """The search for one request's engine, with a bound that skips engines unscored.

    Args:
        balancer: Source of the estimates and of the parts that engines hold.
        req: The request.
        limit: Milliseconds that the first token may take.
        now: Current time.
        ahead: Maximum milliseconds of reading ahead of the request, or None.
        lookup: Known holders of the prompt's parts, or None if there are none.
        home: The engine that all entries prefer for the prompt, or None.
    """

    def __init__(
        self,
        balancer: Balancer,
        req: RoutedRequest,
        limit: float,
        now: Millis,
        *,
        ahead: Millis | None = None,
        lookup: PrefixLookup | None = None,
        home: Registration | None = None,
    ) -> None:
        self.req = req
        self.ahead = ahead
        self.lookup = lookup
        self.home = home
        self.limit = limit
        self.now = now
        self.memory = expected_memory(req)
        self._estimates = balancer.estimates
        self._holders: frozenset[Incarnation] = frozenset()
        self._own_holders: frozenset[Incarnation] = frozenset()
        self._shared_tokens = 0
        if len(req.parts) > 1:
            part = req.parts[-2]
            self._shared_tokens = part.tokens
            self._holders = balancer.prompts.holders(part.identity, now)
            if lookup is not None:
                own = req.parts[-1].identity
                self._own_holders = balancer.prompts.holders(own, now)

    def rules_out(self, row: Registration, position: int, best: _Scored | None) -> bool:
        """Return whether the estimate alone shows that an engine cannot be the best.

        An engine that does not hold the last shared part, which decides the order,
        would have to read it, at a weight that grows with its position. So only the
        first few of many engines and those that hold the part are scored.
        """
        if position == 0 or not self._shared_tokens:
            return False
        estimate = self._estimates.engine(row)
        if self.lookup is not None:
            if best is None or row.incarnation in self._own_holders:
                return False
            missing = self.lookup.missing(row.incarnation)
            if missing is not None:
                # It would have to fetch these tokens or to prefill them, and to prefill
                # the own part in any case.
                tokens = fetch_weight(position) * missing + self.req.parts[-1].tokens
                return estimate.base + tokens / estimate.rate >= best.cost
            if self.home is not None:
                if row.incarnation in self._holders:
                    return False
                weight = fetch_weight(position, assumed=True)
                tokens = weight * self._shared_tokens + self.req.parts[-1].tokens
                return estimate.base + tokens / estimate.rate >= best.cost
        if row.incarnation in self._holders:
            return False
        weight = 1 + reread_weight(position)
        least = estimate.base + weight * self._shared_tokens / estimate.rate
        return least > self.limit or (best is not None and least >= best.cost)


def _all_allowed(_row: Registration, _now: Millis) -> bool:
    return True


def _ignore(_row: Registration) -> None:
    pass


class Balancer:
    """Tracks the loads of upstreams and picks an upstream for each request.

    Args:
        rng: Source of random numbers, for ties.
        allows: Returns whether an upstream may get one more request now. By default it
            always may.
        on_begin: Called with the upstream of each request that is sent.
        fetches: Plans which prompt parts engines fetch, or None if they fetch none.
        failure_domain: Failure domain of this entry. Its engines are preferred where
            engines fetch prompt parts.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        allows: Callable[[Registration, Millis], bool] = _all_allowed,
        on_begin: Callable[[Registration], None] = _ignore,
        fetches: PrefixFetch | None = None,
        failure_domain: str = "",
    ) -> None:
        self._failure_domain = failure_domain
        self._on_begin = on_begin
        self._fetches = fetches
        self._allows = allows
        self.loads = LoadTable()
        self.prompts = PromptTable()
        self.estimates = EstimateTable()
        self.orders = EngineOrders()
        self._rng = rng

    def __repr__(self) -> str:
        return f"Balancer({self.loads!r})"

    def begin(
        self,
        placement: Placement,
        parts: tuple[PromptPart, ...] = (),
        now: Millis = 0,
    ) -> None:
        """Count a request at the upstream to which it is sent.

        Args:
            placement: Where the request is placed.
            parts: Its prompt.
            now: Current time, if there is a prompt.
        """
        self.loads.begin(placement.upstream.incarnation, placement.load)
        self._on_begin(placement.upstream)
        if self._fetches is not None and parts:
            self._fetches.begin(placement, parts, now)

    def record_read(
        self, placement: Placement, parts: tuple[PromptPart, ...], now: Millis
    ) -> None:
        """Record that an engine holds a prompt, as it has begun to answer."""
        self.prompts.sent(placement.upstream.incarnation, parts, now)
        if self._fetches is not None and parts:
            self._fetches.record_sent(placement.upstream, parts, now)
        self.end_fetch(placement)

    def end_fetch(self, placement: Placement) -> None:
        """Record that the fetch of a placement has ended, if it has one."""
        if self._fetches is not None:
            self._fetches.end(placement)

    def least_loaded(
        self, rows: Sequence[Registration], now: Millis
    ) -> Placement | None:
        """Return the upstream with the fewest requests per slot, or None.

        Of a large pool only a random sample is compared.
        """
        if len(rows) > MAX_CANDIDATES:
            rows = self._rng.sample(rows, MAX_CANDIDATES)
        rows = [row for row in rows if self._allows(row, now)]
        if not rows:
            return None

        def key(row: Registration) -> tuple[float, float]:
            total = self.loads.total(row.incarnation, now)
            return total.requests / max(row.slots, 1), self._rng.random()

        return Placement(min(rows, key=key), Load(requests=1), 0)

    def order_for(
        self,
        scope: Scope,
        rows: Sequence[Registration],
        req: RoutedRequest,
        profile: EngineProfile,
    ) -> Sequence[Registration]:
        """Return the engines that a request considers, the preferred one first.

        Args:
            scope: Pool and regions of the request.
            rows: Usable engines of the scope.
            req: The request.
            profile: Stated properties of the engines.
        """
        near = ""
        if self._fetches is not None and self._fetches.enabled(scope.pool, profile):
            shared = sum(part.tokens for part in req.parts[:-1])
            near = self._failure_domain if shared <= MAX_NEAR_TOKENS else ""
        return self.orders.order_for(scope, rows, req, near=near)

    def with_capacity(
        self, rows: Sequence[Registration], limit: float, now: Millis
    ) -> frozenset[Incarnation]:
        """Return the engines that may have capacity for some request.

        Args:
            rows: Engines of one pool.
            limit: Maximum milliseconds that a first token may take.
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
        scope: Scope | None = None,
    ) -> Placement | None:
        """Return the best engine with capacity, or None.

        Args:
            ranked: Engines that may be used, in the order of `EngineOrders`.
            req: The request.
            profile: Stated properties of the engines.
            limit: Maximum milliseconds that the first token may take.
            now: Current time.
            ahead: Maximum milliseconds of reading that may be ahead of the request at
                the engine, or None if only the time of the first token counts.
            among: Engines that may have capacity, if already computed.
            scope: Pool and regions of the request; without them nothing is fetched.
        """
        lookup = self._look_up(scope, req, profile, now)
        home = ranked[0] if ranked else None
        search = _Search(self, req, limit, now, ahead=ahead, lookup=lookup, home=home)
        best: _Scored | None = None
        compared = 0
        for position, row in enumerate(ranked):
            if among is not None and row.incarnation not in among:
                continue
            if lookup is not None:
                if compared >= MAX_COMPARED and not lookup.is_source(row):
                    continue
                compared += self._has_capacity(row, search, profile)
            if search.rules_out(row, position, best):
                continue
            scored = self._score_if_open(row, position, search, profile)
            if scored is None:
                continue
            if best is None or scored.cost < best.cost:
                best = scored
        return best.placement if best is not None else None

    def idle_first_token(self, pool: str, req: RoutedRequest) -> float:
        """Return the expected milliseconds to a first token at an idle engine.

        Args:
            pool: Pool of the engine, which is assumed to hold the shared parts.
            req: The request.
        """
        return self.estimates.pool(pool).millis(own_tokens(req))

    def soonest_first_token(
        self, rows: Sequence[Registration], req: RoutedRequest
    ) -> float:
        """Return the expected milliseconds to a first token at the fastest idle engine.

        Args:
            rows: Engines, which are assumed to hold the shared parts.
            req: The request.
        """
        own = own_tokens(req)
        return min(
            (self.estimates.engine(row).millis(own) for row in rows), default=0.0
        )

    def place_over_limits(
        self,
        ranked: Sequence[Registration],
        req: RoutedRequest,
        now: Millis,
        *,
        scope: Scope | None = None,
        profile: EngineProfile | None = None,
        fetching: bool = True,
    ) -> Placement | None:
        """Return the best engine for a retried request, even if none has capacity.

        Args:
            ranked: Engines that may be used, in the order of `EngineOrders`.
            req: The request.
            now: Current time.
            scope: Pool and regions of the request; without them nothing is fetched.
            profile: Stated properties of the engines, if parts may be fetched.
            fetching: Whether the engine may be told to fetch parts.
        """
        lookup = None
        if profile is not None:
            lookup = self._look_up(scope, req, profile, now, fetching=fetching)
        scored = [
            self._score(row, req, now, position=position, lookup=lookup, home=ranked[0])
            for position, row in enumerate(ranked)
            if self._allows(row, now)
        ]
        best = min(scored, key=lambda one: one.cost, default=None)
        return best.placement if best is not None else None

    def _look_up(
        self,
        scope: Scope | None,
        req: RoutedRequest,
        profile: EngineProfile,
        now: Millis,
        *,
        fetching: bool = True,
    ) -> PrefixLookup | None:
        if self._fetches is None or scope is None:
            return None
        return self._fetches.look_up(scope, req, profile, now, fetching=fetching)

    def _score_if_open(
        self, row: Registration, position: int, search: _Search, profile: EngineProfile
    ) -> _Scored | None:
        """Score an engine, or return None if it lacks capacity for the request."""
        if not self._has_capacity(row, search, profile):
            return None
        scored = self._score(
            row,
            search.req,
            search.now,
            position=position,
            lookup=search.lookup,
            home=search.home,
        )
        # A prompt that exceeds the limit even on an idle engine may go to an engine
        # that has nothing else to read.
        is_alone = scored.placement.unread == scored.placement.load.unread
        if scored.wait > search.limit and not is_alone:
            return None
        if scored.shared and scored.cost > search.limit:
            return None
        return scored

    def _has_capacity(
        self, row: Registration, search: _Search, profile: EngineProfile
    ) -> bool:
        """Check the slots, memory and reading ahead of an engine, but not its cost."""
        if not self._is_open(row, search.limit, search.now):
            return False
        total = self.loads.total(row.incarnation, search.now)
        if total.memory + search.memory > profile.memory_tokens * MEMORY_PART:
            return False
        if search.ahead is None:
            return True
        return total.unread / self.estimates.engine(row).rate <= search.ahead

    def _is_open(self, row: Registration, limit: float, now: Millis) -> bool:
        """Return whether an engine has a free slot and can answer within the limit."""
        total = self.loads.total(row.incarnation, now)
        if total.requests >= row.slots or not self._allows(row, now):
            return False
        waited = self.estimates.engine(row).millis(total.unread)
        return not total.unread or waited <= limit

    def _score(
        self,
        row: Registration,
        req: RoutedRequest,
        now: Millis,
        *,
        position: int,
        lookup: PrefixLookup | None = None,
        home: Registration | None = None,
    ) -> _Scored:
        first = position == 0
        estimate = self.estimates.engine(row)
        if lookup is not None:
            plan = lookup.plan(row, estimate.rate, home=first)
            if plan is not None:
                return self._score_plan(row, req, now, plan, position=position)
        own, shared = self.prompts.unread(row.incarnation, req.parts, now, home=first)
        if lookup is not None and home is not None and shared:
            plan = lookup.assumed_plan(row, home, shared, estimate.rate)
            if plan is not None:
                return self._score_plan(row, req, now, plan, position=position)
        total = self.loads.total(row.incarnation, now)
        unread = total.unread + own
        wait = estimate.millis(unread)
        penalty = reread_weight(position) * shared / estimate.rate
        load = Load(requests=1, unread=own, memory=expected_memory(req))
        cost = wait + penalty + RUNNING_COST * total.requests
        if lookup is not None:
            cost += self._distant_cost(row)
        placement = Placement(row, load, unread, shared, position)
        return _Scored(placement, shared, wait, cost)

    def _score_plan(
        self,
        row: Registration,
        req: RoutedRequest,
        now: Millis,
        plan: FetchPlan,
        *,
        position: int,
    ) -> _Scored:
        """Score an engine that holds, fetches or prefills the shared parts."""
        own = plan.prefilled
        last = req.parts[-1]
        if own or plan.fetched or not self.prompts.holds(row.incarnation, last, now):
            own += last.tokens
        # All entries prefer the first engine for the prompt, so the parts are meant to
        # be prefilled there whoever else holds them.
        again = plan.again if position else 0
        light = plan.fetched + plan.prefilled - again
        total = self.loads.total(row.incarnation, now)
        unread = total.unread + own
        estimate = self.estimates.engine(row)
        wait = estimate.millis(unread) + plan.fetch_ms
        weight = fetch_weight(position, assumed=plan.assumed)
        penalty = reread_weight(position) * again + weight * light
        load = Load(requests=1, unread=own, memory=expected_memory(req))
        cost = wait + penalty / estimate.rate + RUNNING_COST * total.requests
        cost += self._distant_cost(row)
        placement = Placement(
            row,
            load,
            unread,
            plan.prefilled,
            position,
            plan.fetched,
            plan.source,
            plan.fetch_ms,
        )
        return _Scored(placement, again, wait, cost)

    def _distant_cost(self, row: Registration) -> float:
        if not self._failure_domain or row.failure_domain == self._failure_domain:
            return 0.0
        return DISTANT_COST


def fetch_weight(position: int, *, assumed: bool = False) -> float:
    """Return the weight of fetched shared tokens, by the engine's position.

    Args:
        position: Position of the engine in the order of the prompt.
        assumed: Whether the source is only assumed to hold them.
    """
    weight = ASSUMED_FETCH_WEIGHT if assumed else FETCH_WEIGHT
    return weight * (1 + RANK_STEP * position)


def reread_weight(position: int) -> float:
    """Return the weight of shared tokens read again, by the engine's position."""
    return REREAD_WEIGHT * (1 + RANK_STEP * position)


def expected_memory(req: RoutedRequest) -> int:
    """Return the tokens of memory that a request is expected to occupy for itself."""
    generated = min(req.tokens_out, EXPECTED_GENERATED)
    if not req.parts:
        return req.tokens_in + generated
    shared = sum(part.tokens for part in req.parts[:-1])
    # Several running requests share these tokens; on average each adds half of them.
    return req.tokens_in - shared // 2 + generated


def expected_service(req: RoutedRequest) -> int:
    """Return the service, in tokens, that a request is expected to take."""
    return expected_service_of_tokens(req.tokens_in, req.tokens_out)


def expected_service_of_tokens(tokens_in: int, max_generated: int) -> int:
    """Return the service expected for the tokens of a prompt and generated tokens.

    Args:
        tokens_in: Tokens of the whole prompt, whether or not an engine has them cached.
        max_generated: Upper bound of the tokens to generate.
    """
    return tokens_in + GENERATED_TOKEN_WEIGHT * min(max_generated, EXPECTED_GENERATED)


def own_tokens(req: RoutedRequest) -> int:
    """Return the prompt tokens that the request shares with no other."""
    return req.parts[-1].tokens if req.parts else req.tokens_in
