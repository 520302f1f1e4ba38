"""Plans which cached prompt parts an engine fetches from another one. No I/O.

Control replicas tell which engines hold the longer shared parts. For a prompt and an
engine, a plan states the prefix that the engine holds, the tokens that it can fetch
from one other engine that holds a longer prefix, and the tokens that it has to prefill.
Where nothing is reported, because the parts are short or no connected replica watches
the engine, the assumptions of `PromptTable` apply: the engine that all entries prefer
for the prompt holds the shared parts, and others may fetch them from there.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.routing.part_holders import part_digest
from leadseam.routing.prompts import PromptTable

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    from leadseam.clock import Millis
    from leadseam.control.routes import EngineProfile
    from leadseam.incarnation import Incarnation
    from leadseam.routing.dialect import PromptPart, RoutedRequest
    from leadseam.routing.part_holders import PartHolders
    from leadseam.routing.placement import Placement
    from leadseam.routing.scope import Scope
    from leadseam.wire.feed import Registration

SENT_RETENTION: Millis = 1_000
"""Time for which a part that this entry sent counts as held although no event has
reported it: engines are polled every 250 ms, and events may be late."""
MIN_REPORTED_TOKENS = 512
"""Tokens of a part below which replicas do not report who holds it."""
MAX_FETCH_RATIO = 0.4
"""Largest ratio of the time to fetch a token to the time to prefill it. Above it, the
gain does not justify the load on the source's link."""
DISTANT_FACTOR = 2
"""Factor of the time to fetch a token from another failure domain."""
ASSUMED_MISS_PART = 0.2
"""Part of assumed tokens that counts as prefilled, as the source may have evicted them
by now."""
MAX_DIGESTS = 10_000
"""Maximum cached digests of incarnations, about 1 MB."""


@dataclass(frozen=True, slots=True)
class FetchPlan:
    """How an engine obtains the shared parts of a prompt.

    Args:
        held: Tokens of the shared parts that it holds.
        fetched: Tokens that it can fetch.
        source: Engine to fetch them from, or None.
        again: Tokens to prefill that another engine holds but cannot be fetched.
        first: Tokens to prefill that no engine holds.
        fetch_ms: Milliseconds that fetching takes.
        assumed: Whether the source is only assumed to hold the parts.
    """

    held: int
    fetched: int = 0
    source: Registration | None = None
    again: int = 0
    first: int = 0
    fetch_ms: float = 0.0
    assumed: bool = False

    @property
    def prefilled(self) -> int:
        """Tokens of the shared parts that it has to prefill."""
        return self.again + self.first


@dataclass(frozen=True, slots=True)
class _Part:
    """A shared part of a prompt, with what is known of its holders.

    Args:
        tokens: Length of the part.
        holders: Tokens kept by digest of the engine; None if they are not reported.
        sent: Engines that this entry has just sent it to.
    """

    tokens: int
    holders: Mapping[int, int] | None
    sent: frozenset[Incarnation]


@dataclass(slots=True)
class PrefixFetch:
    """Plans fetches for the requests of one entry, and counts those under way.

    Args:
        holders: Which engines hold which parts.
        enabled: Returns whether the engines of a pool fetch parts.
        sources: Returns the engines of a scope that may be sources, by digest.
        usable: Returns whether an engine neither is paused nor fails.
    """

    holders: PartHolders
    enabled: Callable[[str, EngineProfile], bool]
    sources: Callable[[Scope], Mapping[int, Registration]]
    usable: Callable[[Registration, Millis], bool]
    _sent: PromptTable = field(default_factory=lambda: PromptTable(SENT_RETENTION))
    _running: Counter[Incarnation] = field(default_factory=Counter)
    _digests: dict[Incarnation, int] = field(default_factory=dict)
    _pools: set[str] = field(default_factory=set)

    def __repr__(self) -> str:
        return f"PrefixFetch(running={self._running.total()}, {self.holders!r})"

    def look_up(
        self,
        scope: Scope,
        req: RoutedRequest,
        profile: EngineProfile,
        now: Millis,
        *,
        fetching: bool = True,
    ) -> PrefixLookup | None:
        """Look up the holders of a prompt's parts, once for all engines.

        Args:
            scope: Pool and regions of the request.
            req: The request.
            profile: Stated properties of the engines.
            now: Current time.
            fetching: Whether a source may be named.

        Returns:
            The holders, or None if the pool's engines do not fetch, or the prompt has
            no shared part.
        """
        shared = req.parts[:-1]
        if not shared:
            return None
        if not self.enabled(scope.pool, profile):
            self._pools.discard(scope.pool)
            return None
        self._pools.add(scope.pool)
        parts = [self._part(part, now) for part in shared]
        sources = self.sources(scope) if fetching else {}
        return PrefixLookup(self, parts, sources, profile, now)

    def begin(
        self, placement: Placement, parts: tuple[PromptPart, ...], now: Millis
    ) -> None:
        """Record that a prompt is sent to an engine."""
        self.record_sent(placement.upstream, parts, now)
        if placement.source is not None:
            self._running[placement.source.incarnation] += 1

    def record_sent(
        self, row: Registration, parts: tuple[PromptPart, ...], now: Millis
    ) -> None:
        """Record that an engine holds the shared parts of a prompt, or will soon.

        Nothing is kept for pools whose engines do not fetch.
        """
        if row.pool in self._pools:
            self._sent.sent(row.incarnation, parts[:-1], now)

    def end(self, placement: Placement) -> None:
        """Record that a fetch has ended."""
        if placement.source is None:
            return
        incarnation = placement.source.incarnation
        self._running[incarnation] -= 1
        if self._running[incarnation] <= 0:
            del self._running[incarnation]

    def running(self, incarnation: Incarnation) -> int:
        """Return the fetches of this entry's requests from an engine now."""
        return self._running[incarnation]

    def digest(self, incarnation: Incarnation) -> int:
        """Return the cached digest of an incarnation."""
        digest = self._digests.get(incarnation)
        if digest is None:
            if len(self._digests) >= MAX_DIGESTS:
                self._digests.clear()
            digest = self._digests[incarnation] = incarnation.digest()
        return digest

    def _part(self, part: PromptPart, now: Millis) -> _Part:
        sent = self._sent.holders(part.identity, now)
        if part.tokens < MIN_REPORTED_TOKENS:
            return _Part(part.tokens, None, sent)
        return _Part(
            part.tokens, self.holders.holders(part_digest(part.identity)), sent
        )


class PrefixLookup:
    """Holders of the shared parts of one prompt.

    Args:
        fetch: Coverage of engines and fetches under way.
        parts: The shared parts, in order.
        sources: Engines that may be sources, by digest.
        profile: Stated properties of the engines.
        now: Current time.
    """

    def __init__(
        self,
        fetch: PrefixFetch,
        parts: Sequence[_Part],
        sources: Mapping[int, Registration],
        profile: EngineProfile,
        now: Millis,
    ) -> None:
        self._fetch = fetch
        self._parts = parts
        self._rows = sources
        self._now = now
        self._token_ms = profile.fetch_ms_per_token
        self._total = sum(part.tokens for part in parts)
        self._reported = any(part.holders is not None for part in parts)
        self._cached_sources: list[tuple[int, Registration]] | None = None
        self._source_digests: set[int] | None = None

    def is_source(self, row: Registration) -> bool:
        """Return whether an engine is reported to hold the longest known prefix."""
        if self._source_digests is None:
            self._source_digests = {digest for digest, _ in self._holding_rows()}
        return self._fetch.digest(row.incarnation) in self._source_digests

    def missing(self, incarnation: Incarnation) -> int | None:
        """Return the shared tokens that an engine lacks, or None if not covered.

        The engine is not the one that all entries prefer for the prompt.
        """
        digest = self._fetch.digest(incarnation)
        if not self._reported or not self._fetch.holders.covers(digest):
            return None
        return self._total - self._prefix(incarnation, digest, home=False)

    def plan(self, row: Registration, rate: float, *, home: bool) -> FetchPlan | None:
        """Return the plan for an engine, or None if nothing is reported of it.

        Args:
            row: The engine.
            rate: Prompt tokens that it prefills per millisecond.
            home: Whether all entries prefer this engine for the prompt.
        """
        digest = self._fetch.digest(row.incarnation)
        if not self._reported or not self._fetch.holders.covers(digest):
            return None
        held = self._prefix(row.incarnation, digest, home=home)
        if held == self._total:
            return FetchPlan(held)
        sources = self._sources()
        longest = max((prefix for prefix, _ in sources), default=0)
        prefix, source = self._best_source(row, held, rate)
        if source is None:
            known = max(longest, held)
            return FetchPlan(held, again=known - held, first=self._total - known)
        fetched = prefix - held
        return FetchPlan(
            held,
            fetched,
            source,
            again=longest - prefix,
            first=self._total - longest,
            fetch_ms=fetched * self._token_ms * _distance(row, source),
        )

    def assumed_plan(
        self, row: Registration, source: Registration, missing: int, rate: float
    ) -> FetchPlan | None:
        """Return the plan for an engine if another one is assumed to hold the parts.

        Args:
            row: The engine.
            source: The engine that all entries prefer for the prompt.
            missing: Shared tokens that the engine is assumed to lack.
            rate: Prompt tokens that it prefills per millisecond.

        Returns:
            The plan, or None if the engine should prefill the tokens instead.
        """
        distance = _distance(row, source)
        if not self._rows or row.incarnation == source.incarnation:
            return None
        if self._token_ms * distance * rate >= MAX_FETCH_RATIO:
            return None
        first = round(missing * ASSUMED_MISS_PART)
        return FetchPlan(
            self._total - missing,
            missing - first,
            source,
            first=first,
            fetch_ms=missing * self._token_ms * distance,
            assumed=True,
        )

    def _prefix(self, incarnation: Incarnation, digest: int, *, home: bool) -> int:
        """Return the tokens of the longest prefix that an engine holds.

        A part that is not reported counts as held before one that is held. At the end
        of the shared parts it counts as held where this entry has just sent it, and at
        the engine that all entries prefer.
        """
        prefix = unreported = 0
        sent = home
        for part in self._parts:
            if part.holders is None:
                unreported += part.tokens
                sent = home or incarnation in part.sent
                continue
            kept = part.tokens
            if incarnation not in part.sent:
                kept = min(part.holders.get(digest, 0), kept)
            if not kept:
                return prefix
            prefix += unreported + kept
            unreported = 0
            if kept < part.tokens:
                return prefix
        return prefix + (unreported if sent else 0)

    def _reported_prefix(self, digest: int) -> int:
        """Return the tokens of the longest prefix that a source is reported to hold.

        What was only just sent to it may not be in its memory yet.
        """
        prefix = unreported = 0
        for part in self._parts:
            if part.holders is None:
                unreported += part.tokens
                continue
            kept = min(part.holders.get(digest, 0), part.tokens)
            if not kept:
                break
            prefix += unreported + kept
            unreported = 0
            if kept < part.tokens:
                break
        return prefix

    def _sources(self) -> list[tuple[int, Registration]]:
        """Return the usable sources with the prefix that each holds."""
        if self._cached_sources is None:
            self._cached_sources = [
                (self._reported_prefix(digest), row)
                for digest, row in self._holding_rows()
                if self._fetch.usable(row, self._now)
            ]
        return self._cached_sources

    def _holding_rows(self) -> list[tuple[int, Registration]]:
        """Return the sources that replicas report to hold the longest prefix.

        These are the holders of the last reported part or, if there are none, of the
        one before. Many engines hold the first part, which most prompts share.
        """
        for part in reversed(self._parts):
            rows = [
                (digest, self._rows[digest])
                for digest in part.holders or ()
                if digest in self._rows
            ]
            if rows:
                return rows
        return []

    def _best_source(
        self, row: Registration, held: int, rate: float
    ) -> tuple[int, Registration | None]:
        """Return the best source for an engine and the prefix that it holds.

        The longest prefix is best, then a source in the engine's failure domain, then
        the one with the fewest fetches of this entry.
        """
        best: tuple[int, Registration | None] = held, None
        best_key: tuple[int, int, int] | None = None
        for prefix, source in self._sources():
            distance = _distance(row, source)
            if prefix <= held or self._token_ms * distance * rate >= MAX_FETCH_RATIO:
                continue
            key = (prefix, -distance, -self._fetch.running(source.incarnation))
            if best_key is None or key > best_key:
                best, best_key = (prefix, source), key
        return best


def can_fetch(profile: EngineProfile) -> bool:
    """Return whether the configuration states all that fetching needs."""
    return profile.fetch_ms_per_token > 0 and profile.event_calls > 0


def _distance(row: Registration, source: Registration) -> int:
    return 1 if row.failure_domain == source.failure_domain else DISTANT_FACTOR
