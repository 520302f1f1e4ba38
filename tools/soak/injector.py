"""Injects faults from outside: into processes, disks, settings, links and servers."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import resource
import shutil
import signal
import time
from typing import TYPE_CHECKING

from tools.soak.plan import (
    AnswersLost,
    BadLink,
    Freeze,
    FullDisk,
    Kill,
    KillControl,
    PlannedFault,
    Reload,
    ReplaceBox,
    ServerCrash,
    ServerLeaves,
    Stop,
    Wipe,
)
from tools.soak.soak_platform import RESTART_DELAY

if TYPE_CHECKING:
    from tools.soak.soak_platform import SoakPlatform

DRAIN_TIME = 2.0
"""Seconds for which a leaving server still serves after its leave was acknowledged."""
MAX_GROUP_DOWNTIME = 1.0
"""Longest time for which all control processes are down together, in seconds."""


class Injector:
    """Injects faults into a running platform and repairs them.

    Args:
        platform: The nodes, servers and links.
    """

    def __init__(self, platform: SoakPlatform) -> None:
        self._platform = platform
        self._disturbances = platform.disturbances

    async def inject(self, planned: PlannedFault) -> None:
        """Inject a fault and repair it at its end."""
        match planned.fault:
            case Kill(box=box):
                await self._kill([self._platform.current_box(box)], planned.duration)
            case KillControl():
                await self._kill(
                    [*self._platform.control_ips],
                    min(planned.duration, MAX_GROUP_DOWNTIME),
                )
            case Wipe(box=box):
                await self._kill(
                    [self._platform.current_box(box)], planned.duration, wipe=True
                )
            case ReplaceBox(box=box, planned=graceful):
                await self._replace_box(box, planned.duration, graceful=graceful)
            case Freeze(box=box):
                await self._freeze(self._platform.current_box(box), planned.duration)
            case Stop(box=box):
                await self._stop(box, planned.duration)
            case FullDisk(box=box):
                await self._fill_disk(self._platform.current_box(box), planned.duration)
            case Reload(box=box, signal=by_signal):
                self._reload(self._platform.current_box(box), by_signal=by_signal)
            case BadLink() as fault:
                await self._disturb_link(fault, planned.duration)
            case ServerCrash(server=ip):
                await self._crash_server(ip, planned.duration)
            case ServerLeaves(server=ip):
                await self._drain_server(ip, planned.duration)
            case AnswersLost(server=ip):
                await self._lose_answers(ip, planned.duration)

    async def _kill(
        self, boxes: list[str], duration: float, *, wipe: bool = False
    ) -> None:
        boxes = [box for box in boxes if box not in self._platform.down]
        begun = [self._disturbances.begin(box) for box in boxes]
        self._platform.down.update(boxes)
        for box in boxes:
            self._platform.kill(box)
            if wipe:
                shutil.rmtree(self._platform.folder / f"data-{box}")
        await asyncio.sleep(duration)
        for box, disturbance in zip(boxes, begun, strict=True):
            if box not in self._platform.replaced_boxes:
                self._platform.start(box, bootstrap=False)
                self._platform.down.discard(box)
            self._disturbances.end(disturbance)

    async def _replace_box(self, box: str, duration: float, *, graceful: bool) -> None:
        replaced = self._platform.current_box(box)
        if replaced in self._platform.down or not self._platform.spare_ips:
            return
        disturbance = self._disturbances.begin(replaced, planned=graceful)
        if graceful:
            self._platform.start_successor(replaced)
            await asyncio.sleep(duration)
            await self._platform.stop_for_good(replaced, graceful=True)
        else:
            await self._platform.stop_for_good(replaced, graceful=False)
            await asyncio.sleep(duration)
            self._platform.start_successor(replaced)
        self._disturbances.end(disturbance)

    async def lose_one_disk_and_all_power(self) -> None:
        """Wipe the disk of one control box while all processes lose power.

        This is the largest loss that the group must tolerate.
        """
        wiped, *others = self._platform.control_ips
        wiping = self._kill([wiped], MAX_GROUP_DOWNTIME, wipe=True)
        stopping = self._kill([*others, *self._platform.entry_ips], MAX_GROUP_DOWNTIME)
        await asyncio.gather(wiping, stopping)

    async def _freeze(self, box: str, duration: float) -> None:
        disturbance = self._disturbances.begin(box)
        if self._platform.suspendable:
            await self._platform.suspend(box, duration)
            self._disturbances.end(disturbance)
            return
        process = self._platform.processes[box]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(duration)
        process.send_signal(signal.SIGCONT)
        self._disturbances.end(disturbance)

    async def _stop(self, box: str, duration: float) -> None:
        if box in self._platform.down:
            return
        self._platform.down.add(box)
        disturbance = self._disturbances.begin(box, planned=True)
        process = self._platform.processes[box]
        process.terminate()
        while process.poll() is None:
            await asyncio.sleep(RESTART_DELAY)
        await asyncio.sleep(duration)
        self._platform.start(box, bootstrap=False)
        self._platform.down.discard(box)
        self._disturbances.end(disturbance)

    async def _fill_disk(self, box: str, duration: float) -> None:
        disturbance = self._disturbances.begin(box)
        with contextlib.suppress(ProcessLookupError):
            pid = self._platform.processes[box].pid
            _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, -1))
            await asyncio.sleep(duration)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (most, most))
        self._disturbances.end(disturbance)

    def _reload(self, box: str, *, by_signal: bool) -> None:
        self._platform.seeds = self._platform.seeds[1:] + self._platform.seeds[:1]
        self._platform.write_settings(box, bootstrap=False)
        if by_signal and box not in self._platform.down:
            self._platform.signal(box, signal.SIGHUP)

    async def _disturb_link(self, fault: BadLink, duration: float) -> None:
        source = self._platform.current_box(fault.source)
        target = self._platform.current_box(fault.target)
        begun = [self._disturbances.begin(box) for box in (source, target) if box]
        resolved = dataclasses.replace(fault, source=source, target=target)
        await self._platform.links.disturb(resolved, duration)
        for disturbance in begun:
            self._disturbances.end(disturbance)

    async def _crash_server(self, ip: str, duration: float) -> None:
        server = self._platform.server_at(ip)
        if server is None:
            return
        disturbance = self._disturbances.begin(ip)
        await server.stop()
        await self._platform.replace_server(server, duration)
        self._disturbances.end(disturbance)

    async def _drain_server(self, ip: str, duration: float) -> None:
        server = self._platform.server_at(ip)
        if server is None or server.state != "ready":
            return
        disturbance = self._disturbances.begin(ip, planned=True)
        await server.drain()
        server.left_at = time.monotonic()
        await asyncio.sleep(DRAIN_TIME + duration)
        # A crash may have replaced it meanwhile.
        if self._platform.server_at(ip) is server:
            await server.stop()
            await self._platform.replace_server(server, RESTART_DELAY)
        self._disturbances.end(disturbance)

    async def _lose_answers(self, ip: str, duration: float) -> None:
        server = self._platform.server_at(ip)
        if server is None:
            return
        disturbance = self._disturbances.begin(ip)
        server.default_action = "lose"
        await asyncio.sleep(duration)
        server.default_action = "answer"
        self._disturbances.end(disturbance)
