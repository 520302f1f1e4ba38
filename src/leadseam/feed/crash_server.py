"""Detection of requests that crash upstreams, at a replica.

Entries report ended upstreams to every replica they follow. A replica merges the
reports, and notifies entries of a request once two upstreams have ended while running
it; with the third one the request is convicted. That needs no quorum. A verdict is also
written to the log, so that it survives a power loss of all boxes. Verdicts are rare, so
the cost of the write is negligible.
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
from leadseam.crashes.trials import TRIAL_PAUSE, TrialSchedule
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
"""Number of ended upstreams from which on a request is reported to entries. Nearly all
requests that were running on an upstream that ended succeed at their next attempt, so
reporting each of them to all entries would be wasteful."""
FOLLOWER_DELAY: Millis = 300
"""Time for the leader to write a verdict before the followers ask it to."""
VERDICT_LIFETIME: Millis = 3_600_000
"""Time after which the leader lifts a verdict, counted from when that replica first
has it. A request that was convicted wrongly, or whose upstreams were fixed, is served
again then; any other crashes three more upstreams an hour."""
RETRY_DELAY: Millis = 200
"""Delay after a write that no quorum has confirmed."""

log = logging.getLogger(__name__)


class CrashServer:
    """Merges entries' reports of ended upstreams, and notifies entries of the result.

    Args:
        replica: Replica that commits verdicts.
        clock: Source of time.
        metrics: Metrics, for the number of verdicts.
        broadcast: Sends a message to all subscribers.
        send_to_one: Sends a message to one subscriber, another one each time.
    """

    def __init__(
        self,
        replica: Replica,
        clock: Clock,
        metrics: ControlMetrics,
        broadcast: Callable[[Crashes], None],
        send_to_one: Callable[[Crashes], None],
    ) -> None:
        self._replica = replica
        self._clock = clock
        self._metrics = metrics
        self._broadcast = broadcast
        self._send_to_one = send_to_one
        self._table = CrashTable()
        self._applied_changes = -1
        self._convicted_at: dict[Fingerprint, Millis] = {}
        self._trials = TrialSchedule(TRIAL_PAUSE)
        self._wake = asyncio.Event()

    def __repr__(self) -> str:
        return f"CrashServer({self._table!r})"

    def greeting(self) -> Crashes | None:
        """Return the message for a new subscriber, or None if there is none."""
        self._merge(self._replica.state.crashes.rows())
        rows = tuple(row for row in self._table.rows() if _is_reportable(row))
        return Crashes(rows) if rows else None

    def receive(self, message: Crashes) -> None:
        """Merge an entry's report, and notify all entries of changes."""
        self._publish(self._merge(message.rows))

    def on_applied(self) -> None:
        """Notify entries of verdicts that were committed in the log."""
        if self._replica.state.crashes.changes == self._applied_changes:
            return
        self._applied_changes = self._replica.state.crashes.changes
        self._publish(self._merge(self._replica.state.crashes.rows()))

    def verdicts(self) -> tuple[CrashRow, ...]:
        """Return the requests that are refused according to this replica."""
        self._merge(self._replica.state.crashes.rows())
        return tuple(filter(evidence.convicts, self._table.rows()))

    async def lift(self, fingerprint: Fingerprint) -> bool:
        """Void all evidence against a request so far.

        Returns:
            Whether that is committed. If not, entries are notified all the same, and it
            is written later.
        """
        row = self._table.void(fingerprint, self._clock.now())
        if row is None:
            return True
        log.warning("verdict lifted", extra={"fingerprint": fingerprint})
        self._publish((row,))
        return await self._replica.submit(RecordCrashes((row,))) is not None

    def expire(self) -> None:
        """Drop old suspects, and lift old verdicts if this replica leads."""
        now = self._clock.now()
        self._table.expire_suspects(now)
        current = {row.fingerprint for row in self.verdicts()}
        self._convicted_at = {one: self._convicted_at.get(one, now) for one in current}
        if self._replica.raft.role is not Role.LEADER:
            return
        for fingerprint, since in self._convicted_at.items():
            if now - since > VERDICT_LIFETIME:
                spawn(self.lift(fingerprint))
        self._try_next(now)

    def _try_next(self, now: Millis) -> None:
        """Let one entry send one request in spite of a verdict, if one is due."""
        verdicts = self.verdicts()
        fingerprint = self._trials.due(verdicts, now)
        if fingerprint is None:
            return
        log.info("verdict is tried", extra={"fingerprint": fingerprint})
        rows = tuple(row for row in verdicts if row.fingerprint == fingerprint)
        self._send_to_one(Crashes(rows, trials=(fingerprint,)))

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
        """Merge rows and return those that changed the table."""
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
        """Return rows whose verdict, or the lifting of it, is not in the log yet."""
        written = self._replica.state.crashes
        return tuple(
            row
            for row in self._table.rows()
            if self._table.convicts(row.fingerprint)
            is not written.convicts(row.fingerprint)
        )


def _is_reportable(row: CrashRow) -> bool:
    return len(row.counted) >= REPORT_THRESHOLD or bool(row.void)
