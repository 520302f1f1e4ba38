"""Checks the nodes' promises against what callers, servers and operators observed."""

from __future__ import annotations

import json
import re
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.platform.retry_windows import retry_times, worst_window
from tools.platform.standin import WHOLE_STREAM
from tools.soak.callers import ROUTE_TIME_LIMIT, CallKind
from tools.spoil.judge import Kind

if TYPE_CHECKING:
    from tools.platform.standin import Run
    from tools.soak.callers import Call
    from tools.soak.soak_platform import SoakPlatform
    from tools.spoil.judge import Judge

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which guarantee that a request has not run and never will."""
FAULT_EFFECT_TIME = 4.0
"""Seconds for which a fault has effects after its end: a restart, an election, and the
silence limit of links."""
ANSWER_SLACK = 0.5
"""Seconds beyond the time limit of a route until its answer must have ended."""
VERSION = re.compile(rb" v\d+\n")
"""The version in an event of a stream."""
ERROR_CODE = re.compile(rb'"code": ?"(\w+)"')
"""The code in the body of a refusal."""
MIN_RESUMED = 12
"""Resumed streams of a run from which on their share is compared."""
MIN_GOING_ON = 0.75
"""Least share of resumed streams that go on, of that of new ones that begin: half of
all, of which servers break off a third themselves."""
LEAVING_SLACK = 2.0
"""Seconds after which a leaving server must get no new requests; the tests have the
same bound."""


@dataclass(frozen=True, slots=True)
class BrokenPromise:
    """A promise that was not kept.

    Args:
        promise: Name of the promise.
        at: Seconds from the start of the run.
        request_id: Request that broke it; empty if there is none.
        detail: What was observed.
    """

    promise: str
    at: float
    request_id: str
    detail: str

    def __str__(self) -> str:
        return f"{self.at:7.3f} s  {self.promise}: {self.request_id} {self.detail}"


@dataclass
class PromiseChecker:
    """Checks each call when it ends, and at the end what only then is certain.

    Args:
        platform: The nodes, servers and links.
        timed: Whether time limits are checked, which needs an otherwise idle box.
    """

    platform: SoakPlatform
    timed: bool
    started: float = field(default_factory=time.monotonic)
    broken: list[BrokenPromise] = field(default_factory=list)
    checked: Counter[str] = field(default_factory=Counter)
    answers: Counter[int] = field(default_factory=Counter)
    resumed: Counter[str] = field(default_factory=Counter)
    verdicts: Counter[str] = field(default_factory=Counter)
    calls: list[Call] = field(default_factory=list)

    def on_call(self, call: Call) -> None:
        """Check a finished call."""
        self.calls.append(call)
        self.answers[call.status if not call.cut else 0] += 1
        if call.resumes:
            self.resumed[_outcome(call)] += 1
        self._check_answer(call)
        self._check_not_run(call)
        if self.timed:
            self._check_time(call)

    def check_at_end(self) -> None:
        """Check all calls once more: a request may have run after its answer."""
        for call in self.calls:
            self._check_not_run(call)
            self._check_once(call)
            self._check_planned_stop(call)
            if self.platform.unframed:
                self._check_whole_stays_whole(call)
        self._check_resumed()
        self._check_retries()
        if self.timed:
            self._check_leaving()

    def on_read(self, document: bytes, least: int, newest: int) -> None:
        """Check a configuration that was read back.

        Args:
            document: Configuration that was read.
            least: Version that was acknowledged before the read began.
            newest: Highest version sent so far.
        """
        version = json.loads(document)["version"]
        kept = least <= version <= newest
        self._check("configuration kept", kept, "", f"read {version}, had {least}")

    def on_invalid_registration(self, refused: bool, detail: str) -> None:
        """Check that a document that is no valid registration was refused."""
        self._check("strangers refused", refused, "", detail)

    def check(self, promise: str, kept: bool, detail: str) -> None:
        """Record a check that was made elsewhere."""
        self._check(promise, kept, "", detail)

    def fail(self, promise: str, detail: str) -> None:
        """Record a broken promise that was found elsewhere."""
        self._check(promise, False, "", detail)

    def _check(self, promise: str, kept: bool, request_id: str, detail: str) -> None:
        self.checked[promise] += 1
        if not kept:
            at = time.monotonic() - self.started
            self.broken.append(BrokenPromise(promise, at, request_id, detail))

    def _check_resumed(self) -> None:
        """Check that resumed streams go on nearly as often as new ones begin.

        Not counted are those that servers broke off themselves at each attempt. They do
        so at the first event of a resumed stream, while new ones get two before.
        """
        reached = [one for one in self.calls if one.kind is CallKind.STREAM]
        reached = [one for one in reached if one.status]
        resumed = [one for one in reached if one.resumes]
        resumed = [one for one in resumed if _outcome(one) != "version_gone"]
        resumed = [one for one in resumed if not self._was_only_broken_off(one)]
        if len(resumed) < MIN_RESUMED:
            return
        goes_on = _share_begun(resumed)
        begins = _share_begun([one for one in reached if not one.resumes])
        detail = (
            f"{goes_on:.2f} of {len(resumed)} go on, {begins:.2f} of new ones begin"
        )
        kept = goes_on >= MIN_GOING_ON * begins
        self._check("resumed streams go on", kept, "", detail)

    def _was_only_broken_off(self, call: Call) -> bool:
        """Return whether an unanswered call ran, and its server broke off each run."""
        ran = [
            server
            for server in self.platform.all_servers
            for run in server.runs
            if run.request_id == call.request_id
        ]
        broken_off = all(call.request_id in server.broken_off for server in ran)
        return call.status != 200 and bool(ran) and broken_off

    def _check_retries(self) -> None:
        """Check that the retries of each service stayed within the fleet's budget."""
        for service in ("plain", "model"):
            calls = [call for call in self.calls if call.kind.service == service]
            mine = {call.request_id for call in calls}
            retries = retry_times(
                arrival
                for server in self.platform.all_servers
                for arrival in server.arrivals
                if server.service == service and arrival.request_id in mine
            )
            if not retries:
                continue
            requests = [call.start for call in calls]
            worst = worst_window(requests, retries, self.platform.retry_limits)
            self._check("retry budget", worst.excess <= 0, "", f"{service}: {worst}")

    def _check_answer(self, call: Call) -> None:
        """Check that an answer is whole, of this request, and signed by its server."""
        if self.platform.spoiler is not None:
            self._check_made(call, self.platform.spoiler.judge)
            return
        if call.status != 200:
            return
        if call.kind.is_stream:
            versions = sorted(set(VERSION.findall(call.events)))
            detail = f"versions {versions}"
            self._check("one version", len(versions) <= 1, call.request_id, detail)
        mine = call.headers.get(names.REQUEST_ID) == call.request_id
        self._check("own answer", mine, call.request_id, str(call.headers))
        if call.cut:
            return
        instance = call.headers.get(names.SIGNATURE, "").removeprefix("signed-")
        if call.kind.is_stream:
            expected = WHOLE_STREAM
            body = VERSION.sub(b"\n", call.received + call.body)
        else:
            expected = f"{instance} {call.path}".encode()
            body = call.body
        whole = bool(instance) and body == expected
        self._check("whole answer", whole, call.request_id, repr(call.body))

    def _check_made(self, call: Call, judge: Judge) -> None:
        """Check that an answer is what the runs of its request made."""
        verdict = judge.judge(
            call.request_id,
            0 if call.cut else call.status,
            call.body,
            cut=call.cut,
            is_stream=call.kind.is_stream,
        )
        self.verdicts[f"{call.kind}: {verdict.kind}"] += 1
        mutations = [one.mutation.value for one in judge.made[call.request_id]]
        detail = f"{mutations} {verdict.detail}"
        kept = verdict.kind is not Kind.WRONG
        self._check("made by its runs", kept, call.request_id, detail)

    def _check_not_run(self, call: Call) -> None:
        if call.status in NOT_RUN_STATUSES and not call.cut:
            runs = self.platform.runs_of(call.request_id)
            detail = f"status {call.status}, ran {runs} times: {call.body!r}"
            self._check("not run is true", runs == 0, call.request_id, detail)

    def _check_once(self, call: Call) -> None:
        if not call.kind.repeatable:
            runs = self.platform.runs_of(call.request_id)
            self._check("at most once", runs <= 1, call.request_id, f"{runs} runs")

    def _check_time(self, call: Call) -> None:
        if self._was_disturbed(call.entry, call):
            return
        took = call.end - call.start
        kept = took <= ROUTE_TIME_LIMIT + ANSWER_SLACK
        self._check("answered in time", kept, call.request_id, f"took {took:.2f} s")

    def _check_planned_stop(self, call: Call) -> None:
        """Check that a planned stop cut no request that was sent to the entry."""
        disturbances = self.platform.disturbances
        if not disturbances.planned_work_began(call.entry, call.start, call.end):
            return
        if any(
            self._was_disturbed(box, call, planned=False)
            for box in (call.entry, *self.platform.server_ips)
        ):
            return
        if any(call.request_id in one.broken_off for one in self.platform.all_servers):
            # The server cut it, and no other one of its version took it on.
            return
        detail = f"status {call.status}, cut: {call.cut}"
        self._check("stop cuts nothing", not call.cut, call.request_id, detail)

    def _check_whole_stays_whole(self, call: Call) -> None:
        """Check that an undisturbed answer that its server finished was delivered."""
        finished = [
            server
            for server in self.platform.all_servers
            for run in server.runs
            if run.request_id == call.request_id and run.ended == "done"
        ]
        broken_off = any(
            call.request_id in one.broken_off for one in self.platform.all_servers
        )
        boxes = (call.entry, *self.platform.server_ips)
        if not finished or broken_off:
            return
        if any(self._was_disturbed(box, call) for box in boxes):
            return
        detail = f"status {call.status}, cut: {call.cut}"
        kept = call.status == 200 and not call.cut
        self._check("whole stays whole", kept, call.request_id, detail)

    def _check_leaving(self) -> None:
        """Check that undisturbed entries sent nothing new to a server that has left."""
        entries = {call.request_id: call.entry for call in self.calls}
        for server in self.platform.all_servers:
            if server.left_at is None:
                continue
            for run in server.runs:
                entry = entries.get(run.request_id)
                if entry is not None:
                    self._check_run(run, entry, server.instance, server.left_at)

    def _check_run(self, run: Run, entry: str, instance: str, left_at: float) -> None:
        if self.platform.disturbances.was_disturbed(
            entry, left_at - FAULT_EFFECT_TIME, run.at
        ):
            return
        late = run.at - left_at
        detail = f"{late:.2f} s after {instance} had left"
        kept = late <= LEAVING_SLACK
        self._check("leaving is final", kept, run.request_id, detail)

    def _was_disturbed(self, box: str, call: Call, *, planned: bool = True) -> bool:
        """Return whether a box was disturbed during a call or shortly before it."""
        since = call.start - FAULT_EFFECT_TIME
        return self.platform.disturbances.was_disturbed(
            box, since, call.end, planned=planned
        )


def _outcome(call: Call) -> str:
    """Return how a resumed stream ended, or the code of its refusal."""
    if not call.status:
        return "unreached"
    if call.status == 200:
        return "cut" if call.cut else "finished"
    match = ERROR_CODE.search(call.body)
    return match.group(1).decode() if match else str(call.status)


def _share_begun(calls: list[Call]) -> float:
    """Return the share of streams that have begun."""
    return sum(one.status == 200 for one in calls) / max(len(calls), 1)
