"""Client of claims: requests the exclusive right to run a request from replicas."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, seconds
from leadseam.control.claims import Verdict
from leadseam.wire.claim import Claim, ClaimReply

if TYPE_CHECKING:
    from leadseam.wire.claim import ClaimDone, ClaimRelease
    from leadseam.wire.link import Link

CLAIM_TIMEOUT: Millis = 4_000
"""Time without a reply after which a claim fails."""
CLAIM_RESEND: Millis = 1_000
"""Time without a reply after which a claim is sent to another replica."""


class ClaimClient:
    """Sends claims to the replicas that a node follows.

    Args:
        clock: Source of time.
        links: Links to the replicas. The owner of the list keeps it up to date; this
            class changes its order.
    """

    def __init__(self, clock: Clock, links: list[Link]) -> None:
        self._clock = clock
        self._links = links
        self._replies: dict[int, asyncio.Future[ClaimReply]] = {}
        self._next_ticket = 0

    def __repr__(self) -> str:
        return f"ClaimClient(waiting={len(self._replies)})"

    async def claim(
        self, *, account: str, key: str, digest: int, owner: str
    ) -> ClaimReply:
        """Request the exclusive right to run a request.

        A claim is idempotent for its owner, so a lost reply costs only the time until
        the claim is sent to another replica.

        Returns:
            The verdict; UNAVAILABLE if no quorum answered within `CLAIM_TIMEOUT`.
        """
        self._next_ticket += 1
        ticket = self._next_ticket
        request = Claim(ticket, account, key, digest, owner)
        fut: asyncio.Future[ClaimReply] = asyncio.Future()
        self._replies[ticket] = fut
        try:
            return await self._ask(request, fut)
        finally:
            del self._replies[ticket]

    def take_reply(self, reply: ClaimReply) -> None:
        """Handle a replica's reply; one that no claim waits for is dropped."""
        fut = self._replies.get(reply.ticket)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def complete(self, message: ClaimDone) -> None:
        """Send the answer of a claimed run; dropped if no replica is connected."""
        if self._links:
            self._links[0].send(message)

    def release(self, message: ClaimRelease) -> None:
        """Release a claim; dropped if no replica is connected."""
        if self._links:
            self._links[0].send(message)

    async def _ask(self, request: Claim, fut: asyncio.Future[ClaimReply]) -> ClaimReply:
        deadline = self._clock.now() + CLAIM_TIMEOUT
        while self._clock.now() < deadline:
            if self._links:
                # Another replica each time, so that a replica that hangs does not make
                # the claim fail.
                self._links.append(self._links.pop(0))
                self._links[-1].send(request)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(CLAIM_RESEND)):
                    return await asyncio.shield(fut)
        return ClaimReply(request.ticket, Verdict.UNAVAILABLE)
