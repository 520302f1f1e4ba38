"""An admitted request."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.crashes.fingerprint import fingerprint, part_fingerprints
from leadseam.routing.scope import Scope

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.control.routes import Route
    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.routing.dialect import PromptPart, RoutedRequest
    from leadseam.routing.scope import Regions


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A caller's request that may be forwarded to an upstream.

    Args:
        req: The request as read from the wire.
        body: Its body.
        route: Its route.
        pool: Pool that was chosen for it.
        regions: Regions to which route and account restrict it, or None for all.
        account: Client account that it is charged to, or None.
        arrived: Time at which it arrived.
        deadline: Time at which it is given up.
        waited: Time for which its caller waited before, if this is a retry; else 0.
        version: Version that has begun the stream and must continue it, or None.
    """

    req: RoutedRequest
    body: bytes
    route: Route
    pool: str
    account: str | None
    arrived: Millis
    deadline: Millis
    regions: Regions = None
    waited: Millis = 0
    version: str | None = None

    @property
    def scope(self) -> Scope:
        """The upstreams that it may be sent to."""
        return Scope(self.pool, self.regions, self.version)

    @property
    def resumes_stream(self) -> bool:
        """Whether its caller has events of the stream already."""
        req = self.req
        names_event = req.resume_after is not None or req.resumes is not None
        return self.route.resumable and names_event

    @property
    def shared_parts(self) -> tuple[PromptPart, ...]:
        """Prompt parts that other requests may share: all but the last."""
        return self.req.parts[:-1]

    def fingerprint(self) -> Fingerprint:
        """Return the fingerprint, which is equal for repetitions of the request."""
        return fingerprint(self.req, self.account, self.body)

    def part_fingerprints(self) -> tuple[Fingerprint, ...]:
        """Return the fingerprints of the prompt parts that other requests may share."""
        return part_fingerprints(self.req)
