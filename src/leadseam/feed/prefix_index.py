"""Index of the prompt parts that engines hold, as their cache events state. No I/O.

A replica reads the events of the engines that it watches, and tells entries about the
parts that any of them is interested in.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.routing.part_holders import MIN_PART_TOKENS, part_digest
from leadseam.wire.feed import CacheChanges, EngineCache

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.clock import Millis

INTEREST_TTL: Millis = 30_000
"""Time for which an interest is kept: three times the interval at which entries repeat
it."""
CHANGES_INTERVAL: Millis = 100
"""Minimum interval between two messages with changes."""
ANSWER_LIMIT: Millis = 2_000
"""Time without an answer after which an engine's parts count as unknown."""
MAX_PARTS = 2_000
"""Maximum parts kept of one engine. An engine with memory for 230,000 tokens holds some
400 parts of 543 tokens; more are left over where events of evictions are lost."""
TRIMMED_FRACTION = 4
"""A quarter of `MAX_PARTS` is removed at once, so that trimming, which passes over all
parts, is rare."""
MAX_INTERESTS = 20_000
"""Maximum parts of interest; as many as an entry keeps rows."""
FIRST_CURSOR = "0"
"""Cursor of the first call to an engine, and of the first after its restart."""
_NUMBER = re.compile(r"-?[0-9]{1,64}")


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A change of one prompt part in an engine's memory.

    Args:
        number: Number of the event; grows with each event of one epoch.
        part: Identity of the part.
        tokens: Tokens of the part that the engine keeps now; 0 if it was evicted.
    """

    number: int
    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class EventPage:
    """Cache events of one engine since a cursor.

    Args:
        epoch: Changes when the engine starts again.
        cursor: Cursor of the next call.
        lost: Whether events between the cursors are missing.
        events: The events.
    """

    epoch: str
    cursor: str
    lost: bool
    events: tuple[CacheEvent, ...]


class Continuity(StrEnum):
    """How a page follows the one before; the values are labels of a counter."""

    FIRST = "first"
    CONTINUED = "continued"
    GAP = "gap"
    NEW_EPOCH = "new_epoch"


@dataclass(slots=True)
class _Engine:
    """What is known of a watched engine.

    Args:
        epoch: Epoch of its last page; None before the first one.
        cursor: Cursor of the next call.
        answered_at: When its last page arrived.
        held: Digests of the parts that it holds, and the tokens kept of each.
        reported: Whether subscribers count it as watched.
        resend: Whether the next changes replace all that was told of it.
        changed: Parts of interest that have changed since the last message.
    """

    epoch: str | None = None
    cursor: str = FIRST_CURSOR
    answered_at: Millis = 0
    held: dict[int, int] = field(default_factory=dict)
    reported: bool = False
    resend: bool = False
    changed: set[int] = field(default_factory=set)


class PrefixIndex:
    """Prompt parts held by watched engines, interests in them, and changes to send.

    Engines are identified by the digest of their incarnation, and parts by
    `part_digest`.

    Attributes:
        subscribers: Numbers of the subscribers that have sent an interest.
    """

    def __init__(self) -> None:
        self.subscribers: set[int] = set()
        self._engines: dict[int, _Engine] = {}
        self._unwatched: set[int] = set()
        # Ordered by expiry.
        self._interests: dict[int, Millis] = {}
        self._sent_at: Millis | None = None

    def __repr__(self) -> str:
        return (
            f"PrefixIndex(engines={len(self._engines)},"
            f" interests={len(self._interests)})"
        )

    def has_interest(self, now: Millis) -> bool:
        """Return whether any subscriber is interested in any part."""
        self._expire_interests(now)
        return bool(self._interests) and bool(self.subscribers)

    def add_interest(
        self, subscriber: int, parts: Iterable[int], now: Millis
    ) -> CacheChanges | None:
        """Record the interest of a subscriber in some parts.

        Returns:
            What is known of all engines, if the subscriber is new; to be sent to it at
            once.
        """
        self._expire_interests(now)
        for part in parts:
            known = self._interests.pop(part, None) is not None
            if not known and len(self._interests) >= MAX_INTERESTS:
                continue
            self._interests[part] = now + INTEREST_TTL
            if not known:
                self._mark_changed(part)
        if subscriber in self.subscribers:
            return None
        self.subscribers.add(subscriber)
        rows = tuple(
            self._whole_row(digest, engine)
            for digest, engine in self._engines.items()
            if engine.reported
        )
        return CacheChanges(rows) if rows else None

    def remove_subscriber(self, subscriber: int) -> None:
        """Remove a subscriber that has disconnected; its interests expire later."""
        self.subscribers.discard(subscriber)

    def watch(self, engine: int) -> None:
        """Add an engine, of which nothing is known before its first page."""
        self._engines[engine] = _Engine()

    def unwatch(self, engine: int) -> None:
        """Remove an engine."""
        known = self._engines.pop(engine, None)
        if known is not None and known.reported:
            self._unwatched.add(engine)

    def cursor(self, engine: int) -> str:
        """Return the cursor for the next call to a watched engine."""
        return self._engines[engine].cursor

    def restart(self, engine: int) -> None:
        """Read a watched engine from the start, as its cursor may be unusable.

        What it holds is kept: events that are read twice change nothing.
        """
        self._engines[engine].cursor = FIRST_CURSOR

    def apply(self, engine: int, page: EventPage, now: Millis) -> Continuity:
        """Apply a page of events of a watched engine."""
        known = self._engines[engine]
        continuity = _continuity(known, page)
        goes_back = _goes_back(known.cursor, page.cursor)
        known.epoch = page.epoch
        known.answered_at = now
        known.cursor = page.cursor
        if not known.reported:
            known.reported = known.resend = True
        match continuity:
            case Continuity.NEW_EPOCH:
                # The cursor was one of the old epoch, so events may be left out. They
                # are read again from the start.
                self._clear(known)
                known.cursor = FIRST_CURSOR
                return continuity
            case Continuity.GAP if goes_back:
                # The cursor was beyond the events, so some may be left out.
                self._clear(known)
                known.cursor = FIRST_CURSOR
                return continuity
            case Continuity.GAP:
                self._clear(known)
            case _:
                pass
        for event in sorted(page.events, key=lambda one: one.number):
            self._apply_event(known, event)
        self._trim(known)
        return continuity

    def take_silent(self, now: Millis) -> tuple[int, ...]:
        """Return the engines that have become silent, which are covered no longer.

        What they hold is kept: their next page tells whether any event was missed.
        """
        silent = tuple(
            digest
            for digest, engine in self._engines.items()
            if engine.reported and now - engine.answered_at >= ANSWER_LIMIT
        )
        for digest in silent:
            self._engines[digest].reported = False
            self._unwatched.add(digest)
        return silent

    def take_changes(self, now: Millis) -> CacheChanges | None:
        """Return what to send to all subscribers now, or None.

        There is nothing to send within `CHANGES_INTERVAL` of the last changes.
        """
        if self._sent_at is not None and now - self._sent_at < CHANGES_INTERVAL:
            return None
        self._expire_interests(now)
        rows = []
        for digest, engine in self._engines.items():
            if not engine.reported:
                engine.changed.clear()
            elif engine.resend:
                rows.append(self._whole_row(digest, engine))
            elif engine.changed:
                rows.append(self._changed_row(digest, engine))
            else:
                continue
            engine.resend = False
            engine.changed.clear()
        unwatched = tuple(self._unwatched.difference(row.engine for row in rows))
        self._unwatched.clear()
        if not rows and not unwatched:
            return None
        self._sent_at = now
        return CacheChanges(tuple(rows), unwatched)

    def _apply_event(self, engine: _Engine, event: CacheEvent) -> None:
        part = part_digest(event.part)
        of_interest = part in self._interests
        if event.tokens <= 0 or (event.tokens < MIN_PART_TOKENS and not of_interest):
            changed = engine.held.pop(part, None) is not None
        else:
            changed = engine.held.get(part) != event.tokens
            engine.held[part] = event.tokens
        if changed and of_interest:
            engine.changed.add(part)

    def _clear(self, engine: _Engine) -> None:
        engine.held.clear()
        engine.changed.clear()
        engine.resend = True

    def _trim(self, engine: _Engine) -> None:
        """Remove the oldest parts beyond `MAX_PARTS`, first those of no interest."""
        if len(engine.held) <= MAX_PARTS:
            return
        count = len(engine.held) - MAX_PARTS + MAX_PARTS // TRIMMED_FRACTION
        interests = self._interests
        order = sorted(engine.held, key=lambda part: part in interests)
        for part in order[:count]:
            del engine.held[part]
            if part in interests:
                engine.changed.add(part)

    def _mark_changed(self, part: int) -> None:
        """Have the engines that hold a part tell so in the next changes."""
        for engine in self._engines.values():
            if part in engine.held:
                engine.changed.add(part)

    def _expire_interests(self, now: Millis) -> None:
        while self._interests:
            part, expires = next(iter(self._interests.items()))
            if now < expires:
                return
            del self._interests[part]
            # Subscribers are told that the part is gone: they get no changes of it.
            self._mark_changed(part)

    def _whole_row(self, digest: int, engine: _Engine) -> EngineCache:
        interests = self._interests
        held = tuple(item for item in engine.held.items() if item[0] in interests)
        return EngineCache(digest, whole=True, held=held)

    def _changed_row(self, digest: int, engine: _Engine) -> EngineCache:
        kept = {
            part: engine.held[part]
            for part in engine.changed
            if part in engine.held and part in self._interests
        }
        gone = tuple(part for part in engine.changed if part not in kept)
        return EngineCache(digest, whole=False, held=tuple(kept.items()), gone=gone)


def _continuity(engine: _Engine, page: EventPage) -> Continuity:
    if engine.epoch is None:
        return Continuity.FIRST
    if page.epoch != engine.epoch:
        return Continuity.NEW_EPOCH
    if page.lost or _goes_back(engine.cursor, page.cursor):
        return Continuity.GAP
    return Continuity.CONTINUED


def _goes_back(before: str, after: str) -> bool:
    """Return whether a cursor is lower than the one before; only numbers have order."""
    if not (_NUMBER.fullmatch(before) and _NUMBER.fullmatch(after)):
        return False
    return int(after) < int(before)
