"""A node's side of the feed: its configuration, and its claims."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from typing import TYPE_CHECKING

from leadseam.clock import Clock, Millis, seconds
from leadseam.control.claims import Verdict
from leadseam.control.configuration import Configuration, Operation
from leadseam.wire.backoff import Backoff
from leadseam.wire.codec import decode
from leadseam.wire.link import LINK_ERRORS, dial
from leadseam.wire.messages import (
    Claim,
    ClaimDone,
    ClaimRelease,
    ClaimReply,
    Current,
    Delta,
    InForce,
    Snapshot,
    Subscribe,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.settings.models import Endpoint
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage
    from leadseam.wire.traffic import Traffic

SILENCE_LIMIT: Millis = 2_000
MAX_REDIAL_PAUSE: Millis = 800
CLAIM_TIMEOUT: Millis = 4_000
CLAIM_RESEND: Millis = 1_000

log = logging.getLogger(__name__)


class FeedClient:
    """Follows the configuration through one replica at a time.

    Args:
        node: Name of this process.
        incarnation: Its incarnation.
        endpoints: Inner addresses of the control replicas.
        clock: Source of time.
        traffic: Bytes on inner links.
        on_change: Called with each configuration put in force.
    """

    def __init__(
        self,
        *,
        node: str,
        incarnation: int,
        endpoints: tuple[Endpoint, ...],
        clock: Clock,
        traffic: Traffic,
        on_change: Callable[[Configuration], None],
    ) -> None:
        self.configuration = Configuration()
        self.confirmed = False
        self._node = node
        self._incarnation = incarnation
        self._endpoints = list(endpoints)
        self._clock = clock
        self._traffic = traffic
        self._on_change = on_change
        self._link: Link | None = None
        self._backoff = Backoff(last=MAX_REDIAL_PAUSE)
        self._replies: dict[int, asyncio.Future[ClaimReply]] = {}
        self._next_ticket = 0
        random.shuffle(self._endpoints)

    def __repr__(self) -> str:
        return f"FeedClient({self._node}, version={self.version})"

    @property
    def version(self) -> int:
        """Version in force here; 0 before the first."""
        return self.configuration.version

    async def run(self) -> None:
        """Follow the feed until cancelled, changing replica after a failure."""
        while True:
            for endpoint in self._endpoints:
                with contextlib.suppress(*LINK_ERRORS):
                    await self._follow(endpoint)
                self._link = None
                await self._backoff.wait()

    async def claim(
        self, *, account: str, key: str, digest: int, owner: str
    ) -> ClaimReply:
        """Ask for the sole right to run a request.

        The same owner may ask again through another replica, so a lost reply costs
        only time.

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

    def complete(self, message: ClaimDone) -> None:
        """Record the answer of a claimed run; lost if no replica is connected."""
        if self._link is not None:
            self._link.send(message)

    def release(self, message: ClaimRelease) -> None:
        """Give up a claim; lost if no replica is connected."""
        if self._link is not None:
            self._link.send(message)

    async def _ask(self, request: Claim, fut: asyncio.Future[ClaimReply]) -> ClaimReply:
        deadline = self._clock.now() + CLAIM_TIMEOUT
        while self._clock.now() < deadline:
            if self._link is not None:
                self._link.send(request)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(seconds(CLAIM_RESEND)):
                    return await asyncio.shield(fut)
        return ClaimReply(request.ticket, Verdict.UNAVAILABLE)

    async def _follow(self, endpoint: Endpoint) -> None:
        async with dial(endpoint.ip, endpoint.port, self._traffic) as link:
            link.send(Subscribe(self._node, self._incarnation, self.version))
            messages = link.messages()
            while True:
                async with asyncio.timeout(seconds(SILENCE_LIMIT)):
                    message = await anext(messages, None)
                if message is None:
                    return
                self._link = link
                self._backoff.reached()
                self._handle(link, message)
                if isinstance(message, Current) and message.version > self.version:
                    # A delta went missing: subscribe again from what is held.
                    return

    def _handle(self, link: Link, message: AnyMessage) -> None:
        match message:
            case Snapshot(data=data):
                self._put_in_force(link, decode(data, Configuration))
            case Delta(version=version, data=data) if version == self.version + 1:
                operations = decode(data, tuple[Operation, ...])
                self._put_in_force(link, self.configuration.apply(operations))
            case Current(version=version):
                if version <= self.version:
                    self.confirmed = True
                    link.send(InForce(self.version))
            case ClaimReply(ticket=ticket):
                fut = self._replies.get(ticket)
                if fut is not None and not fut.done():
                    fut.set_result(message)
            case _:
                return

    def _put_in_force(self, link: Link, candidate: Configuration) -> None:
        if candidate.version <= self.version:
            return
        self.configuration = candidate
        self.confirmed = True
        self._on_change(candidate)
        link.send(InForce(candidate.version))
        log.info("configuration in force", extra={"version": candidate.version})
