"""Software versions that upstreams of each pool run, or ran until recently. No I/O.

A stream may be continued only at the version that began it. While a pool has had one
version for longer than streams last, the version of any stream is known without
looking it up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.wire.versions import VersionRow

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.control.configuration import Configuration
    from leadseam.wire.feed import Registration

DRAIN_MARGIN: Millis = 10_000
"""Time for which an upstream may still begin streams after it is last listed."""
MAX_VERSIONS = 64
"""Maximum versions kept of a pool, far above what serves side by side."""


class VersionTable:
    """When each version of a pool was last in service.

    Attributes:
        revision: Grows with each version that is added.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._last_seen: dict[str, dict[str, Millis]] = {}

    def __repr__(self) -> str:
        return f"VersionTable({ {p: tuple(v) for p, v in self._last_seen.items()} })"

    def see(self, rows: Iterable[Registration], now: Millis) -> None:
        """Record upstreams that are registered now, if their version is known."""
        for row in rows:
            if row.version is not None:
                self._add(row.pool, row.version, now)

    def merge(self, rows: Iterable[VersionRow], now: Millis) -> None:
        """Merge the rows of another table."""
        for row in rows:
            # An age below 0 would keep the version until that time has come.
            self._add(row.pool, row.version, now - max(row.age, 0))

    def expire(self, now: Millis, lifetime: Millis) -> bool:
        """Drop versions that were last in service longer ago than streams last.

        Returns:
            Whether any was dropped.
        """
        dropped = False
        for versions in self._last_seen.values():
            for version, seen in list(versions.items()):
                if now - seen > lifetime:
                    del versions[version]
                    dropped = True
        return dropped

    def versions(self, pool: str) -> frozenset[str]:
        """Return the versions of a pool."""
        return frozenset(self._last_seen.get(pool, ()))

    def is_mixed(self, pool: str) -> bool:
        """Return whether a pool has more than one version."""
        return len(self._last_seen.get(pool, ())) > 1

    def pools(self) -> tuple[str, ...]:
        """Return the pools with a version."""
        return tuple(pool for pool, versions in self._last_seen.items() if versions)

    def rows(self, now: Millis) -> tuple[VersionRow, ...]:
        """Return all rows, for another table."""
        return tuple(
            VersionRow(pool, version, max(now - seen, 0))
            for pool, versions in self._last_seen.items()
            for version, seen in versions.items()
        )

    def _add(self, pool: str, version: str, seen: Millis) -> None:
        versions = self._last_seen.setdefault(pool, {})
        if version not in versions:
            if len(versions) >= MAX_VERSIONS:
                return
            self.revision += 1
            versions[version] = seen
        versions[version] = max(versions[version], seen)


def stream_lifetime(configuration: Configuration) -> Millis:
    """Return for how long after it began a stream may be resumed, at most."""
    limits = (
        route.time_limit for route in configuration.routes.values() if route.resumable
    )
    return max(limits, default=0) + DRAIN_MARGIN
