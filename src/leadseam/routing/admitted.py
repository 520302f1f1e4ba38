"""A caller's request once it may be forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.crashes.fingerprint import fingerprint

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.control.routes import Route
    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.routing.dialect import RoutedRequest


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that may be forwarded.

    Args:
        req: The request.
        body: Its body.
        route: Its route.
        pool: Pool that was drawn for it.
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

    def fingerprint(self) -> Fingerprint:
        """Return what is the same when the same request is sent again."""
        return fingerprint(self.req, self.account, self.body)
