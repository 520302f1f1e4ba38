"""Refuses requests that crash upstreams, at one entry.

A request is refused for itself if it has crashed upstreams before, and for a part of
its prompt if other requests with this part have.

Measured with real processes (two entries, four upstreams): for 10 s, one caller repeats
a request that crashes every upstream that starts it, three times a second, beside six
callers of good requests. Without the guard 58 upstreams crashed and 406 good requests
were answered; with it 3 crash and 1,183 are answered.
"""

from __future__ import annotations

import logging
from collections import Counter
from typing import TYPE_CHECKING

from leadseam.clock import Millis, sleep
from leadseam.crashes.evidence import AnswerProgress
from leadseam.crashes.fingerprint import is_part
from leadseam.crashes.suspects import Findings, Presence, Suspect, Suspects
from leadseam.outcome import Reason
from leadseam.routing.attempt import FIRST_REDIRECTION, Broken, Streaming, Whole
from leadseam.runtime.tasks import spawn
from leadseam.wire.crashes import Crashes

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from leadseam.clock import Clock
    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.feed.client import FeedClient
    from leadseam.incarnation import Incarnation
    from leadseam.routing.admitted import AdmittedRequest
    from leadseam.routing.attempt import Ending
    from leadseam.routing.client import UpstreamClient
    from leadseam.routing.dialect import RoutedRequest
    from leadseam.routing.exchange import Exchange
    from leadseam.wire.feed import Registration

PROBE_DELAY: Millis = 20
"""Delay between a broken attempt and the connection that probes its upstream: a process
that ends closes its sockets one after another, within some ms."""
MAX_DIGESTED_BODY = 4_096
"""Largest body whose request is remembered as answered; its digest takes some 4 us."""

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
        self._suspects = Suspects(clock.wall)
        self._running = running
        self._trials: set[Fingerprint] = set()
        self._on_trial: dict[Fingerprint, RoutedRequest] = {}

    def __repr__(self) -> str:
        return f"CrashGuard({self._suspects!r})"

    def refusal(
        self, admitted: AdmittedRequest, *, again: bool = False
    ) -> Reason | None:
        """Return the reason not to send a request to an upstream now, or None.

        A request is not sent either while it is undecided whether the upstreams of its
        broken attempts have crashed, if it would be convicted in that case. Without
        this rule a repeated request crashed four upstreams, with it three (six runs
        each, two entries, four upstreams, real processes). Parts of its prompt have
        other requests' breaks too, so they count there only if it is sent again.

        Args:
            admitted: The request.
            again: Whether an attempt of it has broken already.
        """
        suspected = self._suspected(admitted)
        if not suspected:
            return None
        if self._cause(suspected) is not None:
            on_trial = not again and self._is_on_trial(admitted, suspected)
            return None if on_trial else Reason.CRASHES_UPSTREAMS
        for suspect in suspected:
            counts = again or not is_part(suspect.fingerprint)
            if counts and self._suspects.would_be_convicted(suspect):
                return Reason.MAY_CRASH_UPSTREAMS
        return None

    def refused_for(self, admitted: AdmittedRequest) -> Fingerprint | None:
        """Return the fingerprint that a request is refused for, or None."""
        return self._cause(self._suspected(admitted))

    def note_ending(
        self,
        upstream: Registration,
        admitted: AdmittedRequest,
        ending: Ending,
        *,
        early: bool,
        progress: AnswerProgress = AnswerProgress.NONE,
    ) -> None:
        """Add the end of an attempt to the evidence.

        Attempts that this entry has ended itself must not be passed.

        Args:
            upstream: Upstream of the attempt.
            admitted: Its request.
            ending: How it ended.
            early: Whether it ended soon after its send, before any byte of an answer.
            progress: How far its answer had come.
        """
        match ending:
            case Broken():
                self._note_broken(upstream, admitted, early=early, progress=progress)
            case Whole(status=status) if status < FIRST_REDIRECTION:
                self._answered_whole(upstream, admitted, progress)
            case Streaming(resp=resp) if resp.status < FIRST_REDIRECTION:
                self._answered_whole(upstream, admitted, progress)
            case Whole() | Streaming():
                self._suspects.answered(upstream.incarnation, self._clock.now())
        self._on_trial = {
            one: req for one, req in self._on_trial.items() if req is not admitted.req
        }

    def note_lasting(self, admitted: AdmittedRequest) -> None:
        """Note that an answer lasts: no part of its prompt crashes upstreams."""
        self._acquit(_parts(admitted))

    def ended(self, incarnation: Incarnation) -> None:
        """Note that an upstream refuses connections or has restarted."""
        if self._suspects.undecided:
            self._report(self._suspects.ended(incarnation, self._clock.now()))

    def review(self) -> None:
        """Check if upstreams of broken attempts are gone, and drop old evidence."""
        now = self._clock.now()
        self._suspects.table.expire_suspects(now)
        self._trials = set(filter(self._suspects.table.convicts, self._trials))
        if self._suspects.undecided:
            self._report(self._suspects.review(self._presence, now))

    def receive(self, message: Crashes) -> None:
        """Process a report of other entries."""
        found = self._suspects.merge_reports(message.rows, self._clock.now())
        if found.rows:
            self._feed.broadcast(Crashes(found.rows))
        self._convict(found.convicted)
        self._trials.update(filter(self._suspects.table.convicts, message.trials))

    def initial_report(self) -> Crashes | None:
        """Return the report for a replica that is newly followed, or None."""
        rows = self._suspects.table.rows()
        return Crashes(rows) if rows else None

    def _note_broken(
        self,
        upstream: Registration,
        admitted: AdmittedRequest,
        *,
        early: bool,
        progress: AnswerProgress,
    ) -> None:
        incarnation = upstream.incarnation
        now = self._clock.now()
        first = self._suspects.record_break(
            _whole(admitted), incarnation, now, early=early
        )
        if progress is not AnswerProgress.LASTING:
            # A head shows that the answer was begun, however long the request waited.
            begun = early or progress is AnswerProgress.HEAD
            for part in _parts(admitted):
                self._suspects.record_break(part, incarnation, now, early=begun)
        if first:
            spawn(self._probe(upstream))

    async def _probe(self, upstream: Registration) -> None:
        """Try a connection, as no other attempt may be made there for a while."""
        await sleep(PROBE_DELAY)
        if await self._client.is_refused(upstream.ip, upstream.port):
            self.ended(upstream.incarnation)

    def _answered_whole(
        self,
        upstream: Registration,
        admitted: AdmittedRequest,
        progress: AnswerProgress,
    ) -> None:
        self._suspects.answered(upstream.incarnation, self._clock.now())
        small = len(admitted.body) <= MAX_DIGESTED_BODY
        if small or self._may_have_evidence(admitted):
            self._acquit([_whole(admitted)])
        if progress is not AnswerProgress.LASTING:
            # A longer answer has acquitted them when it began: since then they may have
            # ended other upstreams.
            self._acquit(_parts(admitted))

    def _acquit(self, suspects: Iterable[Suspect]) -> None:
        now = self._clock.now()
        rows = (self._suspects.acquit(suspect, now) for suspect in suspects)
        changed = tuple(row for row in rows if row is not None)
        if changed:
            self._feed.broadcast(Crashes(changed))

    def _may_have_evidence(self, admitted: AdmittedRequest) -> bool:
        return self._suspects.may_match(admitted.account or "", len(admitted.body))

    def _suspected(self, admitted: AdmittedRequest) -> list[Suspect]:
        """Return what there is evidence against, of a request and its prompt parts."""
        if not self._suspects.table and not self._suspects.undecided:
            return []
        parts = _parts(admitted)
        suspected = [
            part for part in parts if self._suspects.is_suspected(part.fingerprint)
        ]
        if self._may_have_evidence(admitted):
            suspected.append(_whole(admitted))
        return suspected

    def _is_on_trial(
        self, admitted: AdmittedRequest, suspected: Iterable[Suspect]
    ) -> bool:
        """Return whether a request is the one that is sent in spite of a verdict."""
        for suspect in suspected:
            fingerprint = suspect.fingerprint
            if fingerprint in self._trials:
                self._trials.remove(fingerprint)
                self._on_trial[fingerprint] = admitted.req
                extra = {
                    "request": admitted.req.request_id,
                    "fingerprint": fingerprint,
                }
                log.info("request is sent to try its verdict", extra=extra)
            if self._on_trial.get(fingerprint) is admitted.req:
                return True
        return False

    def _tries_verdict(self, admitted: AdmittedRequest) -> bool:
        return any(req is admitted.req for req in self._on_trial.values())

    def _cause(self, suspected: Iterable[Suspect]) -> Fingerprint | None:
        return self._suspects.table.refuses({one.fingerprint for one in suspected})

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
        """Log convictions, and end the attempts in progress of refused requests."""
        if not fingerprints:
            return
        ended = Counter(filter(None, map(self._end_if_refused, list(self._running))))
        for fingerprint in fingerprints:
            row = self._suspects.table.get(fingerprint)
            extra = {
                "fingerprint": fingerprint,
                "account": row.account if row is not None else "",
                "ended": list(map(str, row.ended)) if row is not None else [],
                "attempts_ended": ended[fingerprint],
            }
            log.warning("request crashes upstreams and is refused", extra=extra)

    def _end_if_refused(self, exchange: Exchange) -> Fingerprint | None:
        """End the attempt of a request that is refused; return for what, or None."""
        refused_for = self.refused_for(exchange.admitted)
        if refused_for is None or self._tries_verdict(exchange.admitted):
            return None
        if is_part(refused_for) and exchange.answer_progress is AnswerProgress.LASTING:
            # It will not crash its upstream any more.
            return None
        exchange.end_attempt()
        return refused_for


def _whole(admitted: AdmittedRequest) -> Suspect:
    return Suspect(admitted.fingerprint(), admitted.account or "", len(admitted.body))


def _parts(admitted: AdmittedRequest) -> list[Suspect]:
    account = admitted.account or ""
    return [Suspect(one, account, 0) for one in admitted.part_fingerprints()]
