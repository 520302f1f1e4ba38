"""Simulates requests that crash upstreams, using the entries' own crash detection.

Production code: `Suspects` with its `CrashTable` and the weight of crashes at each
entry, and the `CrashTable` of a single replica. Modelled: upstreams with slots that
crash and restart, the delays until a crash is confirmed and until other entries receive
it, and callers that retry. Not modelled: lost messages, failing replicas, and processor
time.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.clock import MILLIS_PER_SECOND, Millis
from leadseam.crashes import evidence
from leadseam.crashes.evidence import EARLY_LIMIT
from leadseam.crashes.suspects import Suspect, Suspects
from leadseam.crashes.table import CrashTable
from leadseam.crashes.trials import TrialSchedule
from leadseam.feed.crash_server import REPORT_THRESHOLD
from leadseam.incarnation import Incarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.crashes.fingerprint import Fingerprint
    from leadseam.emulate.crash_settings import CrashFleet
    from leadseam.wire.crashes import CrashRow

    Action = Callable[[], None]

RUN_TIME_SIGMA = 0.6
"""Standard deviation of the logarithm of a good request's run time."""
BACKGROUND_CRASH_INTERVAL: Millis = 100
"""Interval at which upstreams that crash by themselves are drawn."""
TRIAL_INTERVAL: Millis = 1_000
"""Interval at which verdicts that are due for a trial are looked for."""
CRASHES_BORNE = 5
"""Crashes by one request or prompt part that are borne before it must be refused."""
CONTACT_LIMIT: Millis = 3_000
"""Time within which all entries must refuse it then."""
DEADLY_REQUEST = Suspect("deadly", "account", 7)
COMMON_PART = Suspect("part:common", "account", 0)
HOT_REQUEST = Suspect("hot", "account", 7)


@dataclass(slots=True)
class CrashTally:
    """Counts of one simulation.

    Attributes:
        crashes: Upstreams that the deadly request crashed.
        by_themselves: Upstreams that crashed by themselves.
        known_after: Time from the first crash by the deadly request until all entries
            refuse it, or -1.
        good: Good requests.
        answered: Good requests that were answered.
        hit: Good requests whose upstream crashed at least once.
        hit_answered: Requests counted in `hit` that were answered.
        convicted: Good requests that were refused as the cause of crashes.
        put_off: Attempts of good requests that were postponed because of a suspicion.
        rows: Crash rows sent between the entries and the replica.
        late: Deadly requests sent later than `CONTACT_LIMIT` after the fifth crash by
            the request or prompt part; the largest number of any of them.
        trials: Requests that were sent in spite of a verdict.
    """

    crashes: int = 0
    by_themselves: int = 0
    known_after: Millis = -1
    good: int = 0
    answered: int = 0
    hit: int = 0
    hit_answered: int = 0
    convicted: int = 0
    put_off: int = 0
    rows: int = 0
    late: int = 0
    trials: int = 0


@dataclass(slots=True)
class _Call:
    """A request of a caller, over all its attempts.

    Args:
        suspect: The request as a whole.
        deadline: Time at which its caller gives up.
        run: Run time in milliseconds.
        deadly: Whether it crashes each upstream.
        parts: Parts of its prompt that other requests may share.
    """

    suspect: Suspect
    deadline: Millis
    run: Millis
    deadly: bool = False
    parts: tuple[Suspect, ...] = ()
    sends: int = 0
    hit: bool = False
    finished: bool = False

    @property
    def cause(self) -> Suspect:
        """What crashes upstreams, of a deadly request."""
        return self.parts[-1] if self.parts else self.suspect

    @property
    def fingerprints(self) -> set[Fingerprint]:
        """Fingerprints of the request and of its parts."""
        return {self.suspect.fingerprint, *(part.fingerprint for part in self.parts)}


@dataclass(slots=True, eq=False)
class _Attempt:
    """One attempt of a request, sent by an entry to an upstream."""

    call: _Call
    entry: int
    number: int
    sent: Millis
    finished: bool = False
    lasting: bool = False


@dataclass(slots=True, eq=False)
class _Upstream:
    """An upstream. Each restart gives it a new incarnation."""

    incarnation: Incarnation
    running: list[_Attempt] = field(default_factory=list)
    up: bool = True


class CrashSimulation:
    """A discrete-event simulation in virtual time.

    Args:
        cfg: Settings of the simulation.
        seed: Seed of the random generator.

    Attributes:
        tally: Counts so far.
    """

    def __init__(self, cfg: CrashFleet, *, seed: int) -> None:
        self.tally = CrashTally()
        self._cfg = cfg
        self._rng = random.Random(seed)
        self._now: Millis = 0
        self._sequence = itertools.count()
        self._event_queue: list[tuple[Millis, int, Action]] = []
        self._incarnation_numbers = itertools.count(1)
        self._upstreams = [
            _Upstream(self._new_incarnation()) for _ in range(cfg.upstreams)
        ]
        self._entries = [
            Suspects(lambda: self._now, answer_weighs=cfg.answer_weighs)
            for _ in range(cfg.entries)
        ]
        self._replica_table = CrashTable()
        self._schedule_of_trials = TrialSchedule(cfg.trial_pause)
        self._trials: dict[int, set[Fingerprint]] = {
            entry: set() for entry in range(cfg.entries)
        }
        self._first_deadly_crash: Millis = -1
        self._crash_times: defaultdict[Suspect, list[Millis]] = defaultdict(list)
        self._late_sends: Counter[Suspect] = Counter()

    def __repr__(self) -> str:
        return f"CrashSimulation(now={self._now}, {self.tally})"

    def run(self) -> CrashTally:
        """Simulate the configured span, then let requests in progress finish."""
        self._schedule(0, self._generate_request)
        if self._cfg.mass:
            self._schedule(BACKGROUND_CRASH_INTERVAL, self._draw_background_crashes)
        if self._cfg.trial_pause:
            self._schedule(TRIAL_INTERVAL, self._grant_trial)
        for _ in range(self._cfg.deadly):
            self._schedule(self._rng.randrange(1_000), self._send_deadly)
        while self._event_queue:
            self._now, _, action = heapq.heappop(self._event_queue)
            action()
        return self.tally

    def _schedule(self, delay: Millis, action: Action) -> None:
        heapq.heappush(
            self._event_queue, (self._now + delay, next(self._sequence), action)
        )

    def _new_incarnation(self) -> Incarnation:
        return Incarnation(f"u-{next(self._incarnation_numbers)}")

    # Callers

    def _generate_request(self) -> None:
        """Send a good request and schedule the arrival of the next one."""
        if self._now >= self._cfg.span:
            return
        gap = self._rng.expovariate(self._cfg.rate) * MILLIS_PER_SECOND
        self._schedule(round(gap), self._generate_request)
        self.tally.good += 1
        suspect = HOT_REQUEST
        if self._rng.random() >= self._cfg.hot:
            suspect = Suspect(f"good-{self.tally.good}", "account", 7)
        run = self._cfg.run * self._rng.lognormvariate(0, RUN_TIME_SIGMA)
        call = _Call(suspect, self._now + self._cfg.patience, round(run) + 1)
        call.parts = self._draw_parts(good=True)
        self._send(call)

    def _send_deadly(self) -> None:
        """Send a deadly request: a new one each time if a part is what is deadly."""
        call = _Call(
            DEADLY_REQUEST, self._cfg.span, self._cfg.deadly_after, deadly=True
        )
        if self._cfg.deadly_parts:
            call.suspect = Suspect(f"deadly-{next(self._sequence)}", "account", 7)
            number = self._rng.randrange(self._cfg.deadly_parts)
            call.parts = (*self._draw_parts(), _deadly_part(number))
        self._send(call)

    def _draw_parts(self, *, good: bool = False) -> tuple[Suspect, ...]:
        """Return the shared parts of a prompt."""
        if not self._cfg.documents:
            return ()
        number = round(self._cfg.documents ** self._rng.random())
        parts = [COMMON_PART, Suspect(f"part:document-{number}", "account", 0)]
        if good and self._cfg.sessions:
            session = self._rng.randrange(self._cfg.sessions)
            parts.append(Suspect(f"part:session-{session}", "account", 0))
        return tuple(parts)

    def _send_action(self, call: _Call) -> Action:
        return lambda: self._send(call)

    def _send(self, call: _Call) -> None:
        """Send a request to a random entry, unless its caller has given up."""
        if self._now >= call.deadline:
            return
        call.sends += 1
        self._start_attempt(call, self._rng.randrange(self._cfg.entries), 1)

    def _schedule_retry(self, call: _Call) -> None:
        if call.deadly:
            self._schedule(self._cfg.deadly_pause, self._send_next_deadly(call))
        else:
            self._schedule(self._cfg.pause, self._send_action(call))

    def _send_next_deadly(self, call: _Call) -> Action:
        return self._send_deadly if self._cfg.deadly_parts else self._send_action(call)

    # Entries

    def _start_attempt(self, call: _Call, entry: int, number: int) -> None:
        """Refuse or postpone a request, or send it to a least loaded upstream."""
        suspects = self._entries[entry]
        on_trial = self._tries(call, entry, number)
        if self._refuses(suspects, call) and not on_trial:
            self._refuse(call)
            return
        undecided = (call.suspect, *(call.parts if number > 1 else ()))
        if not on_trial and any(map(suspects.would_be_convicted, undecided)):
            self.tally.put_off += not call.deadly
            self._schedule_retry(call)
            return
        free = [
            one
            for one in self._upstreams
            if one.up and len(one.running) < self._cfg.slots
        ]
        if not free:
            self._schedule_retry(call)
            return
        lowest_load = min(len(one.running) for one in free)
        upstream = self._rng.choice(
            [one for one in free if len(one.running) == lowest_load]
        )
        if call.deadly:
            self._count_late(call)
        attempt = _Attempt(call, entry, number, self._now)
        upstream.running.append(attempt)
        self._schedule(call.run, lambda: self._complete_attempt(upstream, attempt))
        begun = round(call.run * self._cfg.first_byte)
        if call.parts and not call.deadly and begun + EARLY_LIMIT < call.run:
            self._schedule(begun + EARLY_LIMIT, lambda: self._lasts(attempt))

    def _count_late(self, call: _Call) -> None:
        crashes = self._crash_times[call.cause]
        if len(crashes) >= CRASHES_BORNE:
            is_late = self._now > crashes[CRASHES_BORNE - 1] + CONTACT_LIMIT
            self._late_sends[call.cause] += is_late
            self.tally.late = max(self._late_sends.values())

    def _refuses(self, suspects: Suspects, call: _Call) -> bool:
        if self._cfg.alternatives:
            return suspects.table.refuses(call.fingerprints) is not None
        return any(suspects.table.convicts(one) for one in call.fingerprints)

    def _grant_trial(self) -> None:
        """Let one entry send one request in spite of a verdict, if one is due."""
        if self._now >= self._cfg.span:
            return
        self._schedule(TRIAL_INTERVAL, self._grant_trial)
        verdicts = filter(evidence.convicts, self._replica_table.rows())
        fingerprint = self._schedule_of_trials.due(verdicts, self._now)
        if fingerprint is not None:
            self._trials[self._rng.choice(list(self._trials))].add(fingerprint)

    def _tries(self, call: _Call, entry: int, number: int) -> bool:
        tried = self._trials[entry] & call.fingerprints if number == 1 else None
        if not tried:
            return False
        self._trials[entry] -= tried
        self.tally.trials += 1
        return True

    def _lasts(self, attempt: _Attempt) -> None:
        if not attempt.finished:
            attempt.lasting = True
            self._acquit(attempt, attempt.call.parts)

    def _acquit(self, attempt: _Attempt, acquitted: tuple[Suspect, ...]) -> None:
        entry = self._entries[attempt.entry]
        rows = (entry.acquit(one, self._now) for one in acquitted)
        self._report_rows(tuple(row for row in rows if row is not None))

    def _refuse(self, call: _Call) -> None:
        if call.deadly:
            self._schedule_retry(call)
            return
        self.tally.convicted += not call.finished
        call.finished = True

    def _complete_attempt(self, upstream: _Upstream, attempt: _Attempt) -> None:
        """Complete an attempt; a deadly one crashes its upstream instead."""
        if attempt.finished:
            return
        if attempt.call.deadly:
            self.tally.crashes += 1
            self._crash_times[attempt.call.cause].append(self._now)
            if self._first_deadly_crash < 0:
                self._first_deadly_crash = self._now
            self._crash(upstream)
            return
        attempt.finished = True
        upstream.running.remove(attempt)
        self.tally.answered += 1
        self.tally.hit_answered += attempt.call.hit
        self._acquit(attempt, (attempt.call.suspect,))
        if not attempt.lasting:
            self._acquit(attempt, attempt.call.parts)

    # Upstreams

    def _draw_background_crashes(self) -> None:
        if self._now >= (self._cfg.mass_span or self._cfg.span):
            return
        self._schedule(BACKGROUND_CRASH_INTERVAL, self._draw_background_crashes)
        chance = self._cfg.mass * BACKGROUND_CRASH_INTERVAL / MILLIS_PER_SECOND
        for upstream in self._upstreams:
            if upstream.up and self._rng.random() < chance:
                self.tally.by_themselves += 1
                self._crash(upstream)

    def _crash(self, upstream: _Upstream) -> None:
        upstream.up = False
        ended, upstream.running = upstream.running, []
        incarnation = upstream.incarnation
        affected_entries = sorted({attempt.entry for attempt in ended})
        for attempt in ended:
            self._fail_attempt(attempt, incarnation)
        for entry in affected_entries:
            self._schedule(
                self._cfg.certain,
                lambda e=entry: self._confirm(e, incarnation),  # type: ignore[misc]
            )
        self._schedule(
            self._rng.randint(*self._cfg.down), lambda: self._restart(upstream)
        )

    def _restart(self, upstream: _Upstream) -> None:
        upstream.incarnation = self._new_incarnation()
        upstream.up = True

    def _fail_attempt(self, attempt: _Attempt, incarnation: Incarnation) -> None:
        """Record an attempt whose upstream crashed, and schedule the next attempt."""
        attempt.finished = True
        call = attempt.call
        if not call.deadly and not call.hit:
            call.hit = True
            self.tally.hit += 1
        entry = self._entries[attempt.entry]
        early = self._is_early(attempt)
        suspects = (call.suspect, *(() if attempt.lasting else call.parts))
        for suspect in suspects:
            entry.record_break(suspect, incarnation, self._now, early=early)
        if attempt.number < self._cfg.attempts:
            number = attempt.number + 1
            self._schedule(1, lambda: self._start_attempt(call, attempt.entry, number))
        else:
            self._schedule_retry(call)

    def _is_early(self, attempt: _Attempt) -> bool:
        if self._cfg.alike:
            return True
        age = self._now - attempt.sent
        begun = not attempt.call.deadly and (
            age >= attempt.call.run * self._cfg.first_byte
        )
        return age <= EARLY_LIMIT and not begun

    # Crash reports

    def _confirm(self, entry: int, incarnation: Incarnation) -> None:
        self._report_rows(self._entries[entry].ended(incarnation, self._now).rows)
        self._check_known_everywhere()

    def _report_rows(self, rows: tuple[CrashRow, ...]) -> None:
        """Merge rows at the replica and schedule the delivery of changes to entries."""
        self.tally.rows += len(rows)
        merged = [self._replica_table.merge(row, self._now) for row in rows]
        reported = [row for row in merged if row is not None and _is_reported(row)]
        if reported:
            self._schedule(self._cfg.heard, lambda: self._deliver_rows(reported))

    def _deliver_rows(self, rows: list[CrashRow]) -> None:
        self.tally.rows += len(rows) * len(self._entries)
        void: list[CrashRow] = []
        for suspects in self._entries:
            void += suspects.merge_reports(rows, self._now).rows
        self._report_rows(tuple(void))
        self._check_known_everywhere()

    def _check_known_everywhere(self) -> None:
        if self.tally.known_after >= 0 or self._first_deadly_crash < 0:
            return
        deadly = list(map(_deadly_part, range(self._cfg.deadly_parts)))
        if all(
            entry.table.convicts(one.fingerprint)
            for one in deadly or [DEADLY_REQUEST]
            for entry in self._entries
        ):
            self.tally.known_after = self._now - self._first_deadly_crash


def _deadly_part(number: int) -> Suspect:
    return Suspect(f"part:deadly-{number}", "account", 0)


def _is_reported(row: CrashRow) -> bool:
    return len(row.counted) >= REPORT_THRESHOLD or bool(row.void)


def render(name: str, tallies: list[CrashTally]) -> str:
    """Return a table row with the results of a variant over all its seeds."""

    def total(field_name: str) -> int:
        return sum(getattr(one, field_name) for one in tallies)

    known = max(one.known_after for one in tallies)
    hit = total("hit")
    share = total("hit_answered") / hit if hit else 1.0
    return (
        f"| {name} | {total('by_themselves')} | {max(one.crashes for one in tallies)}"
        f" | {known} | {total('good')} | {total('answered')} | {hit} | {share:.4f}"
        f" | {total('convicted')} | {total('put_off')} | {total('rows')}"
        f" | {max(one.late for one in tallies)} | {total('trials')} |"
    )


TABLE_HEADER = (
    "| variant | crashed by themselves | crashed by the deadly one, most of a seed"
    " | known everywhere after ms | good | answered | hit | of these answered"
    " | convicted | put off | rows | late sends, most of a seed | trials |\n"
    "|---|---|---|---|---|---|---|---|---|---|---|---|---|"
)
