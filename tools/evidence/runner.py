"""Runs tasks of a plan, within bounds on their number and on memory."""

from __future__ import annotations

import asyncio
import sys
from collections import deque
from typing import TYPE_CHECKING, Never

import psutil
from tqdm import tqdm

from leadseam.clock import Millis, seconds

if TYPE_CHECKING:
    from collections.abc import Sequence

    from tools.evidence.plan import Task

MEMORY_CHECK_INTERVAL: Millis = 2_000
STOP_TIMEOUT: Millis = 5_000
"""Time after a request to stop after which a play is killed."""


class Runner:
    """Runs tasks in order.

    Args:
        bench: Program that plays deployments.
        why: Line for the journal.
        jobs: Maximum tasks at the same time.
        min_memory: Available bytes of memory below which no further task is begun
            while others run.
    """

    def __init__(self, bench: str, *, why: str, jobs: int, min_memory: int) -> None:
        self._bench = bench
        self._why = why
        self._jobs = jobs
        self._min_memory = min_memory
        self._running = 0

    def __repr__(self) -> str:
        return f"Runner(jobs={self._jobs}, running={self._running})"

    async def run(self, tasks: Sequence[Task]) -> list[Task]:
        """Run tasks and return those that failed. Ends them all if it is cancelled."""
        queue = deque(tasks)
        failed: list[Task] = []
        with tqdm(total=len(tasks), unit="task", file=sys.stderr) as progress:
            async with asyncio.TaskGroup() as group:
                for _ in range(self._jobs):
                    group.create_task(self._work(queue, failed, progress))
        return failed

    async def _work(
        self, queue: deque[Task], failed: list[Task], progress: tqdm[Never]
    ) -> None:
        while queue:
            await self._wait_for_memory()
            if not queue:
                return
            task = queue.popleft()
            self._running += 1
            progress.set_postfix_str(str(task))
            try:
                if await self._play(task):
                    failed.append(task)
                    tqdm.write(f"failed: {task}", file=sys.stderr)
            finally:
                self._running -= 1
                progress.update()

    async def _wait_for_memory(self) -> None:
        while self._running and psutil.virtual_memory().available < self._min_memory:
            await asyncio.sleep(seconds(MEMORY_CHECK_INTERVAL))

    async def _play(self, task: Task) -> int:
        """Run a task and return its exit code."""
        process = await asyncio.create_subprocess_exec(
            *task.command(self._bench, why=self._why),
            stdout=asyncio.subprocess.DEVNULL,
        )
        try:
            return await process.wait()
        finally:
            if process.returncode is None:
                process.terminate()
                try:
                    async with asyncio.timeout(seconds(STOP_TIMEOUT)):
                        await process.wait()
                except TimeoutError:
                    process.kill()
