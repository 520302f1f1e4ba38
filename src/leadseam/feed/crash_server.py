"""The replica's part in knowing requests that end upstreams.

Entries tell every replica they follow. A replica merges what it hears and tells entries
of a request once a second upstream has ended under it; the third one convicts it. That
needs no quorum. A verdict is written to the log besides, so that it outlives the loss
of power everywhere: it is rare, so the write costs nothing that matters.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from leadseam.clock import Millis, sleep
from leadseam.control.raft_types import Role
from leadseam.control.state import RecordCrashes
from leadseam.crashes import evidence
from leadseam.crashes.table import CrashTable
from leadseam.runtime.tasks import spawn
from leadseam.wire.crashes import Crashes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from leadseam.clock import Clock
    from leadseam.control.replica import Replica
    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.crashes import CrashRow

REPORT_THRESHOLD = 2
"""Ends from which on entries are told. Of an end, nearly all that ran there end well at
their next attempt, so telling all entries of each would be waste."""
FOLLOWER_DELAY: Millis = 300
"""Time that the leader has to write a verdict before the others ask it to."""
VERDICT_LIFETIME: Millis = 3_600_000
"""Time after which a verdict is lifted, counted by whoever leads since it knows of it.
A request that is innocent after all, or whose upstreams were mended, is served again;
one that is not crashes three more upstreams an hour."""
RETRY_DELAY: Millis = 200
"""Pause after a write that no quorum has confirmed."""

log = logging.getLogger(__name__)


class CrashServer:
    """Merges what entries have seen, and tells them.

    Args:
        replica: Where verdicts are written.
        clock: Source of time.
        metrics: Where the number of verdicts is shown.
        broadcast: Sends a message to all subscribers.
    """

    def __init__(
        self,
        replica: Replica,
        clock: Clock,
        metrics: ControlMetrics,
        broadcast: Callable[[Crashes], None],
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._broadcast = broadcast
        self._table = CrashTable()
        self._applied_changes = -1
        self._convicted_at: dict[Fingerprint, Millis] = {}
        self._wake = asyncio.Event()

    def __repr__(self) -> str:
        return f"CrashServer({self._table!r})"

    def greeting(self) -> Crashes | None:
        """Return what a new subscriber has to know, or None."""
        self._merge(self._replica.state.crashes.rows())
        rows = tuple(row for row in self._table.rows() if _is_reportable(row))
        return Crashes(rows) if rows else None

    def receive(self, message: Crashes) -> None:
        """Merge what an entry has seen, and tell the others what is news."""
        self._publish(self._merge(message.rows))

    def on_applied(self) -> None:
        """Tell entries of verdicts that have come through the log."""
        if self._replica.state.crashes.changes == self._applied_changes:
            return
        self._applied_changes = self._replica.state.crashes.changes
        self._publish(self._merge(self._replica.state.crashes.rows()))

    def verdicts(self) -> tuple[CrashRow, ...]:
        """Return the requests that are refused, as far as this replica knows."""
        self._merge(self._replica.state.crashes.rows())
        return tuple(filter(evidence.convicts, self._table.rows()))

    async def lift(self, fingerprint: Fingerprint) -> bool:
        """Let nothing that is known so far count against a request.

        Returns:
            Whether that is written; if not, entries hear of it all the same, and it is
            written later.
        """
        row = self._table.void(fingerprint, self._clock.now())
        if row is None:
            return True
        log.warning("verdict lifted", extra={"fingerprint": fingerprint})
        self._publish((row,))
        return await self._replica.submit(RecordCrashes((row,))) is not None

    def expire(self) -> None:
        """Forget suspects of long ago, and lift verdicts that are old."""
        now = self._clock.now()
        self._table.expire_suspects(now)
        current = {row.fingerprint for row in self.verdicts()}
        self._convicted_at = {one: self._convicted_at.get(one, now) for one in current}
        if self._replica.raft.role is not Role.LEADER:
            return
        for fingerprint, since in self._convicted_at.items():
            if now - since > VERDICT_LIFETIME:
                spawn(self.lift(fingerprint))

    async def run(self) -> None:
        """Write verdicts until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            if self._replica.raft.role is not Role.LEADER:
                await sleep(FOLLOWER_DELAY)
            await self._write(self._unwritten())

    async def _write(self, rows: tuple[CrashRow, ...]) -> None:
        if not rows:
            return
        extra = {"fingerprints": [row.fingerprint for row in rows]}
        if await self._replica.submit(RecordCrashes(rows)) is None:
            log.warning("verdict not written in time", extra=extra)
            await sleep(RETRY_DELAY)
            self._wake.set()
            return
        log.info("verdict written", extra=extra)

    def _merge(self, rows: Iterable[CrashRow]) -> tuple[CrashRow, ...]:
        """Merge rows and return those that are news."""
        now = self._clock.now()
        merged = (self._table.merge(row, now) for row in rows)
        return tuple(row for row in merged if row is not None)

    def _publish(self, news: tuple[CrashRow, ...]) -> None:
        reported = tuple(row for row in news if _is_reportable(row))
        if not reported:
            return
        self._broadcast(Crashes(reported))
        self._metrics.verdicts.set({}, len(self.verdicts()))
        for row in reported:
            if evidence.convicts(row):
                extra = {
                    "fingerprint": row.fingerprint,
                    "account": row.account,
                    "ended": list(map(str, row.ended)),
                }
                log.warning("request crashes upstreams", extra=extra)
        self._wake.set()

    def _unwritten(self) -> tuple[CrashRow, ...]:
        """Return verdicts, and what voids them, that the log does not hold yet."""
        written = self._replica.state.crashes
        return tuple(
            row
            for row in self._table.rows()
            if self._table.convicts(row.fingerprint)
            is not written.convicts(row.fingerprint)
        )


def _is_reportable(row: CrashRow) -> bool:
    return len(row.counted) >= REPORT_THRESHOLD or bool(row.void)
