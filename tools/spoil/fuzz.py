"""Sends calls through real nodes to servers that mutate their answers."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from leadseam.routing.retry_budget import RetryLimits
from tools.platform.nodes import Platform
from tools.spoil.judge import Judge, Kind
from tools.spoil.mutations import Mutation
from tools.spoil.spoiler import EVENTS, Spoiler

if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path

    from tools.platform.nodes import Answer
    from tools.spoil.judge import Made, Verdict

CALLERS = 8
"""Calls at a time."""
SLOTS = 64
"""Slots of a server, so that calls never wait for one."""
RETRY_SLACK = 1_000_000
"""Retries beyond the ratio, so that the budget holds no stream back."""
ROUTES = ("stream", "stream-fixed", "safe", "once")
RESUMABLE = "stream"
PREFIX = "fuzz-"
"""Start of the ids of the calls."""


@dataclass
class SpoilPlatform(Platform):
    """Nodes whose servers mutate their answers.

    Args:
        sources: Folder with the sources of the nodes; empty for those of this process.
    """

    sources: str = ""
    retry_slack: int = RETRY_SLACK

    @property
    def retry_limits(self) -> RetryLimits:
        """Limits on retries that hold no call back."""
        return RetryLimits(ratio=1.0, slack=self.retry_slack, window=10_000)

    def environment(self, ip: str) -> dict[str, str]:
        """Return the variables that choose the sources of a process."""
        return {"PYTHONPATH": self.sources} if self.sources else {}

    def spoil(self, spoiler: Spoiler) -> None:
        """Let all servers mutate their answers."""
        for server in self.servers:
            server.spoiler = spoiler
            server.slots = SLOTS


@dataclass
class FuzzResult:
    """What callers got.

    Args:
        seed: The seed.
        kinds: Answers by kind.
        wrong: Descriptions of wrong answers.
        wrong_by_mutation: Wrong answers by the mutations of their runs.
        resumable: Streams whose first answer was mutated and that may be resumed, by
            what became of them.
        refused: Refusals by status.
    """

    seed: int
    kinds: Counter[str] = field(default_factory=Counter)
    wrong: list[str] = field(default_factory=list)
    wrong_by_mutation: Counter[str] = field(default_factory=Counter)
    resumable: Counter[str] = field(default_factory=Counter)
    refused: Counter[str] = field(default_factory=Counter)

    def add(
        self,
        route: str,
        request_id: str,
        answer: Answer,
        verdict: Verdict,
        made: list[Made],
    ) -> None:
        """Count an answer, and describe it if it is wrong.

        Args:
            route: Name of its route.
            request_id: Identifier of the request.
            answer: What the caller got.
            verdict: What the judge says of it.
            made: What the runs of the request made.
        """
        self.kinds[f"{route}: {verdict.kind}"] += 1
        if verdict.kind is Kind.REFUSED:
            self.refused[f"{route}: {verdict.detail}"] += 1
        if verdict.kind is not Kind.WRONG:
            return
        mutations = "+".join(one.mutation for one in made)
        self.wrong_by_mutation[f"{route}: {mutations}"] += 1
        sent = [one.sent for one in made]
        self.wrong.append(
            f"{request_id} {route} {mutations} {answer.status} cut={answer.cut}:"
            f" {verdict.detail}\n    got {answer.body!r}\n    sent {sent!r}"
        )

    def __str__(self) -> str:
        total = self.kinds.total()
        lines = [
            f"seed {self.seed}: {total} answers, {len(self.wrong)} wrong",
            f"kinds {dict(sorted(self.kinds.items()))}",
            f"refused {dict(self.refused)}",
            f"wrong by mutation {dict(self.wrong_by_mutation.most_common())}",
            f"mutated streams that may be resumed {dict(self.resumable)}",
        ]
        return "\n  ".join(lines)


class SpoilFuzz:
    """Sends the calls of a seed, and judges their answers.

    Args:
        platform: Running nodes and servers.
        seed: Seed for the calls and the mutations.
        mutations: Mutations that servers may make.
    """

    def __init__(
        self,
        platform: SpoilPlatform,
        seed: int,
        *,
        mutations: frozenset[Mutation] = frozenset(Mutation),
    ) -> None:
        self.result = FuzzResult(seed)
        self._platform = platform
        self._judge = Judge(EVENTS)
        self._seed = seed
        platform.spoil(Spoiler(self._judge, seed, PREFIX, mutations))

    async def run(self, count: int) -> FuzzResult:
        """Send a number of calls and return what their callers got."""
        numbers = iter(range(count))
        async with asyncio.TaskGroup() as group:
            for _ in range(CALLERS):
                group.create_task(self._send_all(numbers))
        return self.result

    async def _send_all(self, numbers: Iterator[int]) -> None:
        for number in numbers:
            rng = random.Random(f"{self._seed} {number}")
            route = rng.choice(ROUTES)
            entry = rng.choice(self._platform.entry_ips)
            request_id = f"{PREFIX}{self._seed}-{number}"
            answer = await self._platform.call(
                entry, f"/{route}/{number}", request_id=request_id
            )
            self._count(route, request_id, answer)

    def _count(self, route: str, request_id: str, answer: Answer) -> None:
        verdict = self._judge.judge(
            request_id,
            answer.status,
            answer.body,
            cut=answer.cut,
            is_stream="stream" in route,
        )
        result = self.result
        made = self._judge.made.pop(request_id, [])
        result.add(route, request_id, answer, verdict, made)
        if route == RESUMABLE and made and made[0].mutation is not Mutation.NONE:
            tries = "at once" if len(made) == 1 else "by another server"
            result.resumable[f"{verdict.kind} {tries}"] += 1


async def run_seed(
    folder: Path,
    seed: int,
    count: int,
    *,
    sources: str = "",
    mutations: frozenset[Mutation] = frozenset(Mutation),
) -> FuzzResult:
    """Run one seed in an empty folder and return its result."""
    platform = SpoilPlatform(folder, sources=sources)
    try:
        await platform.start_all()
        return await SpoilFuzz(platform, seed, mutations=mutations).run(count)
    finally:
        await platform.close()
