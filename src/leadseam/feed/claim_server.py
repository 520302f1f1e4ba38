"""Server of claims: commits claim commands in batches and replies to subscribers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.control.claims import Acquire, ClaimResult, Complete, Release, Verdict
from leadseam.control.state import ClaimResults, Claims
from leadseam.wire.claim import Claim, ClaimDone, ClaimRelease, ClaimReply

if TYPE_CHECKING:
    from leadseam.control.claims import ClaimCommand
    from leadseam.control.replica import Replica
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.link import Link

MAX_CLAIM_BATCH = 256
"""Maximum number of claim commands in one log entry."""


@dataclass(slots=True)
class _QueuedClaim:
    command: ClaimCommand
    fut: asyncio.Future[ClaimResult] = field(default_factory=asyncio.Future)


class ClaimServer:
    """Commits claim commands in batches.

    One batch is in flight at a time; commands that arrive meanwhile form the next.

    Args:
        replica: Replica that commits the commands.
        metrics: Metrics of the replica.
    """

    def __init__(self, replica: Replica, metrics: ControlMetrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self._queue: asyncio.Queue[_QueuedClaim] = asyncio.Queue()

    async def run(self) -> None:
        """Submit batches until cancelled."""
        while True:
            batch = [await self._queue.get()]
            while len(batch) < MAX_CLAIM_BATCH and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._commit(batch)

    async def handle(
        self, link: Link, message: Claim | ClaimDone | ClaimRelease
    ) -> None:
        """Commit a subscriber's command; a claim is answered on its link."""
        match message:
            case Claim():
                await self._acquire(link, message)
            case ClaimDone():
                await self._submit(_complete(message))
            case ClaimRelease(account=account, key=key, owner=owner):
                await self._submit(Release(account, key, owner))

    async def _acquire(self, link: Link, message: Claim) -> None:
        command = Acquire(message.account, message.key, message.digest, message.owner)
        result = await self._submit(command)
        reply = ClaimReply(
            message.ticket,
            result.verdict,
            result.status,
            result.content_type,
            result.body,
        )
        link.send(reply)

    async def _submit(self, command: ClaimCommand) -> ClaimResult:
        """Commit one command; the verdict is UNAVAILABLE without a quorum."""
        queued = _QueuedClaim(command)
        self._queue.put_nowait(queued)
        result = await queued.fut
        self._metrics.claims.inc({"verdict": result.verdict})
        return result

    async def _commit(self, batch: list[_QueuedClaim]) -> None:
        command = Claims(tuple(queued.command for queued in batch))
        outcome = await self._replica.submit(command)
        results: tuple[ClaimResult, ...]
        if isinstance(outcome, ClaimResults):
            results = outcome.results
        else:
            results = (ClaimResult(Verdict.UNAVAILABLE),) * len(batch)
        for queued, result in zip(batch, results, strict=True):
            queued.fut.set_result(result)


def _complete(message: ClaimDone) -> Complete:
    return Complete(
        message.account,
        message.key,
        message.owner,
        message.status,
        message.content_type,
        message.body,
    )
