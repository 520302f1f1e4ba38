"""Keeps requests that end upstreams from ending more of them, at one entry.

Load: one caller repeats one request that crashes whatever begins it, three times a
second for 10 s, beside six callers of good ones (four upstreams, two entries, real
processes). Unguarded it ended 58 upstreams, and 406 good requests were answered;
guarded it ends 3, and 1,183 are.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from leadseam.clock import Millis, sleep
from leadseam.crashes.suspects import News, Presence, Suspect, Suspects
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

LOOK_DELAY: Millis = 20
"""Time after a broken attempt until a connection is tried: the end of a process closes
its sockets one after another, within some ms."""

log = logging.getLogger(__name__)


class CrashGuard:
    """Learns from attempts and from the other entries, and says what is refused.

    Args:
        feed: Registered upstreams, and the way to the other entries.
        client: Connections to upstreams.
        clock: Source of time.
        running: Requests under way, kept up to date by their owner.
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
        """Return why a request must not be sent to an upstream now, if so.

        One that would be convicted by an end that is not certain yet is not sent
        either: a repeat ended four upstreams without that, three with it (six plays
        each, two entries, four upstreams, real processes).
        """
        if not self._may_know(admitted):
            return None
        suspect = _suspect(admitted)
        if self._suspects.book.convicts(suspect.fingerprint):
            return Reason.CRASHES_UPSTREAMS
        if self._suspects.on_trial(suspect):
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
        """Learn from an attempt; one that this entry has cut itself is none.

        Args:
            upstream: Where it was made.
            admitted: Its request.
            ending: How it ended.
            early: Whether it ended soon after its send, before a byte of an answer.
        """
        match ending:
            case Broken():
                self._broke(upstream, admitted, early=early)
            case Whole(status=status) if status < FIRST_REDIRECTION:
                self._answered_whole(upstream, admitted)
            case Streaming(resp=resp) if resp.status < FIRST_REDIRECTION:
                self._answered_whole(upstream, admitted)
            case Whole() | Streaming():
                self._suspects.answered(upstream.incarnation, self._clock.now())

    def ended(self, incarnation: Incarnation) -> None:
        """Note that an upstream refuses connections, or has started again."""
        if self._suspects.undecided:
            self._report(self._suspects.ended(incarnation, self._clock.now()))

    def review(self) -> None:
        """Look whether upstreams where attempts broke have gone, and forget the old."""
        now = self._clock.now()
        self._suspects.book.fade(now)
        if self._suspects.undecided:
            self._report(self._suspects.review(self._presence, now))

    def receive(self, message: Crashes) -> None:
        """Take what other entries have seen."""
        convicted = self._suspects.told(message.rows, self._clock.now())
        self._convict(convicted)

    def initial_report(self) -> Crashes | None:
        """Return what a replica has to know that is followed anew, or None."""
        rows = self._suspects.book.rows()
        return Crashes(rows) if rows else None

    def _broke(
        self, upstream: Registration, admitted: AdmittedRequest, *, early: bool
    ) -> None:
        suspect = _suspect(admitted)
        incarnation = upstream.incarnation
        now = self._clock.now()
        if self._suspects.broke(suspect, incarnation, now, early=early):
            spawn(self._look(upstream))

    async def _look(self, upstream: Registration) -> None:
        """Try a connection, as nobody else may for a while."""
        await sleep(LOOK_DELAY)
        if await self._client.is_refused(upstream.ip, upstream.port):
            self.ended(upstream.incarnation)

    def _answered_whole(
        self, upstream: Registration, admitted: AdmittedRequest
    ) -> None:
        now = self._clock.now()
        self._suspects.answered(upstream.incarnation, now)
        if not self._may_know(admitted):
            return
        row = self._suspects.answered_whole(_suspect(admitted), now)
        if row is not None:
            self._feed.broadcast(Crashes((row,)))

    def _may_know(self, admitted: AdmittedRequest) -> bool:
        return self._suspects.may_know(admitted.account or "", len(admitted.body))

    def _presence(self, incarnation: Incarnation) -> Presence:
        if self._feed.view.has_left(incarnation):
            return Presence.LEAVES
        if self._feed.view.serves(incarnation):
            return Presence.SERVES
        # An entry that is cut off forgets upstreams that go on.
        return Presence.GONE if self._feed.fresh else Presence.UNKNOWN

    def _report(self, news: News) -> None:
        if not news.rows:
            return
        self._feed.broadcast(Crashes(news.rows))
        extra = {
            "instance": str(news.rows[0].ended[-1]),
            "requests": len(news.rows),
            "most_ended": max(len(row.counted) for row in news.rows),
        }
        log.info("upstream has ended under requests", extra=extra)
        self._convict(news.convicted)

    def _convict(self, fingerprints: tuple[Fingerprint, ...]) -> None:
        """Refuse requests from now on, and end their attempts under way."""
        for fingerprint in fingerprints:
            row = self._suspects.book.get(fingerprint)
            ended = [one for one in self._running if self._is_of(one, fingerprint)]
            for exchange in ended:
                exchange.end_attempt()
            extra = {
                "fingerprint": fingerprint,
                "account": row.account if row is not None else "",
                "ended": list(map(str, row.ended)) if row is not None else [],
                "attempts_ended": len(ended),
            }
            log.warning("request crashes upstreams and is refused", extra=extra)

    def _is_of(self, exchange: Exchange, fingerprint: Fingerprint) -> bool:
        admitted = exchange.admitted
        return self._may_know(admitted) and admitted.fingerprint() == fingerprint


def _suspect(admitted: AdmittedRequest) -> Suspect:
    return Suspect(admitted.fingerprint(), admitted.account or "", len(admitted.body))
