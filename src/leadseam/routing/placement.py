"""The upstream chosen for a request, and the load that the request adds to it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from leadseam.routing.load import Load
    from leadseam.wire.feed import Registration


@dataclass(frozen=True, slots=True)
class Placement:
    """The upstream chosen for a request.

    Args:
        upstream: The upstream.
        load: Load that the request adds to the upstream.
        unread: Prompt tokens that the upstream has to read before the first token,
            including those of other requests.
        reread: Tokens of shared parts that the upstream is expected to read again.
        rank: Position of the upstream in the engine order of the prompt.
        fetched: Tokens of shared parts that the upstream is told to fetch.
        source: Engine that it is told to fetch them from, or None.
        fetch_ms: Milliseconds that fetching them is expected to take.
    """

    upstream: Registration
    load: Load
    unread: int
    reread: int = 0
    rank: int = 0
    fetched: int = 0
    source: Registration | None = None
    fetch_ms: float = 0.0
