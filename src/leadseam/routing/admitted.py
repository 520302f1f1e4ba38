"""A caller's request once it may be forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.crashes.fingerprint import fingerprint
from leadseam.routing.scope import Scope

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.control.routes import Route
    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.scope import Regions


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may be forwarded.

    Args:
        req: The request.
        body: Its body.
        route: Its route.
        pool: Pool that was drawn for it.
        regions: Regions to which route and account bind it, or None for all.
        account: Client account that pays, or None.
        arrived: When it was read.
        deadline: When it is given up.
    """

    req: RoutedRequest
    body: bytes
    route: Route
    pool: str
    account: str | None
    arrived: Millis
    deadline: Millis
    regions: Regions = None

    @property
    def scope(self) -> Scope:
        """Where it may go."""
        return Scope(self.pool, self.regions)

    def fingerprint(self) -> Fingerprint:
        """Return what is the same when the same request is sent again."""
        return fingerprint(self.req, self.account, self.body)
