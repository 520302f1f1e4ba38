"""Finds the route and the client account of a request. No I/O."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from leadseam.control.configuration import Account, Configuration
    from leadseam.control.routes import Route

MAX_CACHED_KEYS = 10_000


class Router:
    """Indexes the routes and account keys of one configuration.

    Args:
        configuration: The configuration to index.
    """

    def __init__(self, configuration: Configuration) -> None:
        self._hosts: dict[str, list[Route]] = {}
        for route in configuration.routes.values():
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self._accounts = {
            digest: account
            for account in configuration.accounts.values()
            for digest in account.key_hashes
        }
        self._demands_keys = configuration.demands_keys
        self._digests: dict[str, str] = {}

    def __repr__(self) -> str:
        return f"Router(hosts={len(self._hosts)}, keys={len(self._accounts)})"

    @property
    def uses_account_keys(self) -> bool:
        """Whether callers' bearer keys belong to client accounts, and are demanded."""
        return self._demands_keys

    def match(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest matching path prefix, or None.

        Args:
            host: Host that the caller addressed, without a port.
            path: Raw path, without the query.
        """
        for route in self._hosts.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def account(self, key: str) -> Account | None:
        """Return the client account that a bearer key belongs to, or None."""
        digest = self._digests.get(key)
        if digest is None:
            digest = hashlib.sha256(key.encode()).hexdigest()
            if len(self._digests) < MAX_CACHED_KEYS:
                self._digests[key] = digest
        return self._accounts.get(digest)


def choose_pool(route: Route, rng: random.Random) -> str:
    """Choose one of a route's pools at random by weight."""
    if len(route.pools) == 1:
        return route.pools[0].pool
    names = [share.pool for share in route.pools]
    weights = [share.weight for share in route.pools]
    return rng.choices(names, weights)[0]
