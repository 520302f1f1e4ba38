"""Refuses requests that have crashed upstreams, at one entry.

Measured with real processes (two entries, four upstreams): for 10 s, one caller repeats
a request that crashes every upstream that starts it, three times a second, beside six
callers of good requests. Without the guard 58 upstreams crashed and 406 good requests
were answered; with it 3 crash and 1,183 are answered.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Millis, sleep
from leadseam.crashes.suspects import Findings, Presence, Suspect, Suspects
from leadseam.outcome import Reason
from leadseam.routing.attempt import FIRST_REDIRECTION, Broken, Streaming, Whole
from leadseam.runtime.tasks import spawn
from leadseam.wire.crashes import Crashes

if TYPE_CHECKING:
    from collections.abc import Collection

    from leadseam.clock import Clock
    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.feed.client import FeedClient
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.attempt import Ending
    from leadseam.routing.client import UpstreamClient
    from leadseam.routing.exchange import Exchange
    from leadseam.wire.feed import Registration

PROBE_DELAY: Millis = 20
"""Delay between a broken attempt and the connection that probes its upstream: a process
that ends closes its sockets one after another, within some ms."""

log = logging.getLogger(__name__)


class CrashGuard:
    """Collects evidence against requests, and decides which are refused.

    Evidence comes from this entry's attempts and from reports of other entries.

    Args:
        feed: Source of registered upstreams; carries reports to the other entries.
        client: HTTP client for upstreams.
        clock: Source of time.
        running: Exchanges in progress; the owner keeps it up to date.
    """

    def __init__(
        self,
        *,
        feed: FeedClient,
        client: UpstreamClient,
        clock: Clock,
        running: Collection[Exchange],
    ) -> None:
        self._feed = feed
        self._client = client
        self._clock = clock
        self._suspects = Suspects()
        self._running = running

    def __repr__(self) -> str:
        return f"CrashGuard({self._suspects!r})"

    def refusal(self, admitted: AdmittedRequest) -> Reason | None:
        """Return the reason not to send a request to an upstream now, or None.

        A request is not sent either while it is undecided whether the upstreams of its
        broken attempts have crashed, if it would be convicted in that case. Without
        this rule a repeated request crashed four upstreams, with it three (six runs
        each, two entries, four upstreams, real processes).
        """
        if not self._may_have_evidence(admitted):
            return None
        suspect = _suspect(admitted)
        if self._suspects.table.convicts(suspect.fingerprint):
            return Reason.CRASHES_UPSTREAMS
        if self._suspects.would_be_convicted(suspect):
            return Reason.MAY_CRASH_UPSTREAMS
        return None

    def note_ending(
        self,
        upstream: Registration,
        admitted: AdmittedRequest,
        ending: Ending,
        *,
        early: bool,
    ) -> None:
        """Add the end of an attempt to the evidence.

        Attempts that this entry has ended itself must not be passed.

        Args:
            upstream: Upstream of the attempt.
            admitted: Its request.
            ending: How it ended.
            early: Whether it ended soon after its send, before any byte of an answer.
        """
        match ending:
            case Broken():
                self._note_broken(upstream, admitted, early=early)
            case Whole(status=status) if status < FIRST_REDIRECTION:
                self._answered_whole(upstream, admitted)
            case Streaming(resp=resp) if resp.status < FIRST_REDIRECTION:
                self._answered_whole(upstream, admitted)
            case Whole() | Streaming():
                self._suspects.answered(upstream.incarnation, self._clock.now())

    def ended(self, incarnation: Incarnation) -> None:
        """Note that an upstream refuses connections or has restarted."""
        if self._suspects.undecided:
            self._report(self._suspects.ended(incarnation, self._clock.now()))

    def review(self) -> None:
        """Check if upstreams of broken attempts are gone, and drop old evidence."""
        now = self._clock.now()
        self._suspects.table.expire_suspects(now)
        if self._suspects.undecided:
            self._report(self._suspects.review(self._presence, now))

    def receive(self, message: Crashes) -> None:
        """Process a report of other entries."""
        convicted = self._suspects.merge_reports(message.rows, self._clock.now())
        self._convict(convicted)

    def initial_report(self) -> Crashes | None:
        """Return the report for a replica that is newly followed, or None."""
        rows = self._suspects.table.rows()
        return Crashes(rows) if rows else None

    def _note_broken(
        self, upstream: Registration, admitted: AdmittedRequest, *, early: bool
    ) -> None:
        suspect = _suspect(admitted)
        incarnation = upstream.incarnation
        now = self._clock.now()
        if self._suspects.record_break(suspect, incarnation, now, early=early):
            spawn(self._probe(upstream))

    async def _probe(self, upstream: Registration) -> None:
        """Try a connection, as no other attempt may be made there for a while."""
        await sleep(PROBE_DELAY)
        if await self._client.is_refused(upstream.ip, upstream.port):
            self.ended(upstream.incarnation)

    def _answered_whole(
        self, upstream: Registration, admitted: AdmittedRequest
    ) -> None:
        now = self._clock.now()
        self._suspects.answered(upstream.incarnation, now)
        if not self._may_have_evidence(admitted):
            return
        row = self._suspects.acquit(_suspect(admitted), now)
        if row is not None:
            self._feed.broadcast(Crashes((row,)))

    def _may_have_evidence(self, admitted: AdmittedRequest) -> bool:
        return self._suspects.may_match(admitted.account or "", len(admitted.body))

    def _presence(self, incarnation: Incarnation) -> Presence:
        if self._feed.view.has_left(incarnation):
            return Presence.LEAVES
        if self._feed.view.serves(incarnation):
            return Presence.SERVES
        # An entry without a connection to the feed drops upstreams that still run.
        return Presence.GONE if self._feed.fresh else Presence.UNKNOWN

    def _report(self, findings: Findings) -> None:
        if not findings.rows:
            return
        self._feed.broadcast(Crashes(findings.rows))
        extra = {
            "instance": str(findings.rows[0].ended[-1]),
            "requests": len(findings.rows),
            "most_ended": max(len(row.counted) for row in findings.rows),
        }
        log.info("upstream has ended under requests", extra=extra)
        self._convict(findings.convicted)

    def _convict(self, fingerprints: tuple[Fingerprint, ...]) -> None:
        """Log convictions, and end the attempts in progress of convicted requests."""
        for fingerprint in fingerprints:
            row = self._suspects.table.get(fingerprint)
            ended = [one for one in self._running if self._matches(one, fingerprint)]
            for exchange in ended:
                exchange.end_attempt()
            extra = {
                "fingerprint": fingerprint,
                "account": row.account if row is not None else "",
                "ended": list(map(str, row.ended)) if row is not None else [],
                "attempts_ended": len(ended),
            }
            log.warning("request crashes upstreams and is refused", extra=extra)

    def _matches(self, exchange: Exchange, fingerprint: Fingerprint) -> bool:
        admitted = exchange.admitted
        return (
            self._may_have_evidence(admitted) and admitted.fingerprint() == fingerprint
        )


def _suspect(admitted: AdmittedRequest) -> Suspect:
    return Suspect(admitted.fingerprint(), admitted.account or "", len(admitted.body))
