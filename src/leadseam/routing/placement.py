"""Where a request was placed, and what it adds there."""

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
        load: What the request adds there.
        unread: Prompt tokens to be read there before its first token, all included.
        reread: Tokens of shared parts that it is expected to read once more.
        rank: Place of the upstream in the order preferred for the prompt.
    """

    upstream: Registration
    load: Load
    unread: int
    reread: int = 0
    rank: int = 0
