"""Which engines hold which shared prompt parts, as control replicas tell. No I/O.

A replica reads the cache events of the engines that it watches and tells entries what
changes. An engine is covered while the replica that watches it is connected.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Mapping

    from leadseam.wire.feed import CacheChanges

MAX_ROWS = 20_000
"""Maximum pairs of an engine and a part, about 2 MB."""


def part_digest(identity: str) -> int:
    """Return the 64-bit hash that identifies a prompt part between processes."""
    return xxhash.xxh3_64_intdigest(identity.encode())


class PartHolders:
    """Prompt parts by engine, and engines by prompt part.

    Engines are identified by the digest of their incarnation, and parts by
    `part_digest`.
    """

    def __init__(self) -> None:
        self._by_engine: dict[int, dict[int, int]] = {}
        self._by_part: dict[int, dict[int, int]] = {}
        self._watched_by: dict[int, str] = {}
        self._rows = 0

    def __repr__(self) -> str:
        return f"PartHolders(engines={len(self._watched_by)}, rows={self._rows})"

    def __len__(self) -> int:
        return self._rows

    def apply(self, replica: str, changes: CacheChanges) -> None:
        """Apply changes that a replica tells of the engines that it watches."""
        for row in changes.rows:
            self._watched_by[row.engine] = replica
            if row.whole:
                self._forget(row.engine)
            for part in row.gone:
                self._remove(row.engine, part)
            for part, tokens in row.held:
                self._add(row.engine, part, tokens)
        for engine in changes.unwatched:
            if self._watched_by.get(engine) == replica:
                self._drop(engine)

    def drop_replica(self, replica: str) -> None:
        """Forget the engines that a disconnected replica watched."""
        dropped = [one for one, by in self._watched_by.items() if by == replica]
        for engine in dropped:
            self._drop(engine)

    def covers(self, engine: int) -> bool:
        """Return whether a connected replica watches an engine."""
        return engine in self._watched_by

    def tokens_held(self, engine: int, part: int) -> int | None:
        """Return the tokens of a part that an engine holds; None if not covered."""
        if engine not in self._watched_by:
            return None
        return self._by_engine.get(engine, {}).get(part, 0)

    def holders(self, part: int) -> Mapping[int, int]:
        """Return the engines that hold a part, with the tokens that each keeps."""
        return self._by_part.get(part, {})

    def _add(self, engine: int, part: int, tokens: int) -> None:
        held = self._by_engine.setdefault(engine, {})
        if part not in held:
            if self._rows >= MAX_ROWS:
                return
            self._rows += 1
        held[part] = tokens
        self._by_part.setdefault(part, {})[engine] = tokens

    def _remove(self, engine: int, part: int) -> None:
        if self._by_engine.get(engine, {}).pop(part, None) is None:
            return
        self._rows -= 1
        engines = self._by_part[part]
        del engines[engine]
        if not engines:
            del self._by_part[part]

    def _forget(self, engine: int) -> None:
        for part in list(self._by_engine.get(engine, {})):
            self._remove(engine, part)
        self._by_engine.pop(engine, None)

    def _drop(self, engine: int) -> None:
        self._forget(engine)
        del self._watched_by[engine]
