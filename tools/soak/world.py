"""The nodes, servers and links of a run, and the faults done to them from outside."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import resource
import shutil
import signal
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tools.platform.nodes import Platform, free_port
from tools.soak.ledger import Ledger
from tools.soak.links import Links
from tools.soak.plan import (
    AnswersLost,
    BadLink,
    Boxes,
    Freeze,
    FullDisk,
    Kill,
    KillControl,
    Planned,
    Reload,
    ServerCrash,
    ServerLeaves,
    Stop,
    Wipe,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.platform.standin import Server

RESTART_DELAY = 0.2
"""Seconds after which a process that has ended by itself is started again."""
EVENT_PAUSE = 0.05
"""Seconds between the events of a stream, so that faults find streams under way."""
LEAVING_PAUSE = 2.0
"""Seconds that a leaving server serves on after its end was acknowledged."""


@dataclass
class World(Platform):
    """Real nodes whose inner links and ways to servers run through proxies."""

    entries: int = 2
    ledger: Ledger = field(default_factory=Ledger)
    links: Links = field(default_factory=Links)
    gone: list[Server] = field(default_factory=list)

    def __post_init__(self) -> None:
        super().__post_init__()
        self.entry_ips = [f"127.0.1.{number + 1}" for number in range(self.entries)]
        nodes = [*self.control_ips, *self.entry_ips]
        every = [*nodes, *self.server_ips]
        self._inner = {ip: free_port(every) for ip in nodes}
        self._proxied = free_port(self.server_ips)
        self._down: set[str] = set()
        self._keeper: asyncio.Task[None] | None = None

    @property
    def boxes(self) -> Boxes:
        """Addresses of all boxes."""
        servers = tuple(server.ip for server in self.servers)
        return Boxes(tuple(self.control_ips), tuple(self.entry_ips), servers)

    def inner_port_of(self, ip: str) -> int:
        """Return the inner port of a box, which is its own."""
        return self._inner[ip]

    def advertised(self, ip: str) -> str:
        """Return the address of a server's proxy."""
        return f"{ip}:{self._proxied}"

    async def open(self) -> None:
        """Start everything."""
        nodes = [*self.control_ips, *self.entry_ips]
        await self.links.add_mesh(nodes, self.control_ips, self.inner_port_of)
        for ip in self.server_ips[:4]:
            await self.links.add_server(ip, self.server_port, self._proxied)
        await self.start_all()
        for server in self.servers:
            server.pause = EVENT_PAUSE
        self._keeper = asyncio.create_task(self._keep_running())

    async def close(self) -> None:
        """End everything that was started."""
        if self._keeper is not None:
            self._keeper.cancel()
        await super().close()
        await self.links.close()

    async def _keep_running(self) -> None:
        """Start processes again that have ended by themselves, as the platform does."""
        while True:
            await asyncio.sleep(RESTART_DELAY)
            for ip, process in list(self.processes.items()):
                if ip not in self._down and process.poll() is not None:
                    self.start(ip, founding=False)

    # Faults

    async def do(self, planned: Planned) -> None:
        """Do a fault, for as long as it lasts, and mend it."""
        match planned.fault:
            case Kill(box=box):
                await self._killed([box], planned.length)
            case KillControl():
                await self._killed(self.control_ips, min(planned.length, 1.0))
            case Wipe(box=box):
                await self._killed([box], planned.length, wipe=True)
            case Freeze(box=box):
                await self._frozen(box, planned.length)
            case Stop(box=box):
                await self._stopped(box, planned.length)
            case FullDisk(box=box):
                await self._full(box, planned.length)
            case Reload(box=box, signal=by_signal):
                self._reload(box, by_signal=by_signal)
            case BadLink() as fault:
                await self._spoiled(fault, planned.length)
            case ServerCrash(server=ip):
                await self._server_crashed(ip, planned.length)
            case ServerLeaves(server=ip):
                await self._server_left(ip, planned.length)
            case AnswersLost(server=ip):
                await self._answers_lost(ip, planned.length)

    async def _killed(
        self, boxes: list[str], length: float, *, wipe: bool = False
    ) -> None:
        boxes = [box for box in boxes if box not in self._down]
        spans = [self.ledger.begin(box) for box in boxes]
        self._down.update(boxes)
        for box in boxes:
            self.kill(box)
            if wipe:
                shutil.rmtree(self.folder / f"data-{box}")
        await asyncio.sleep(length)
        for box, span in zip(boxes, spans, strict=True):
            self.start(box, founding=False)
            self._down.discard(box)
            self.ledger.end(span)

    async def _frozen(self, box: str, length: float) -> None:
        span = self.ledger.begin(box)
        process = self.processes[box]
        process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(length)
        process.send_signal(signal.SIGCONT)
        self.ledger.end(span)

    async def _stopped(self, box: str, length: float) -> None:
        if box in self._down:
            return
        self._down.add(box)
        span = self.ledger.begin(box, planned=True)
        process = self.processes[box]
        process.terminate()
        while process.poll() is None:
            await asyncio.sleep(RESTART_DELAY)
        await asyncio.sleep(length)
        self.start(box, founding=False)
        self._down.discard(box)
        self.ledger.end(span)

    async def _full(self, box: str, length: float) -> None:
        span = self.ledger.begin(box)
        with contextlib.suppress(ProcessLookupError):
            pid = self.processes[box].pid
            _, most = resource.prlimit(pid, resource.RLIMIT_FSIZE, (0, -1))
            await asyncio.sleep(length)
            resource.prlimit(pid, resource.RLIMIT_FSIZE, (most, most))
        self.ledger.end(span)

    def _reload(self, box: str, *, by_signal: bool) -> None:
        self.seeds = self.seeds[1:] + self.seeds[:1]
        self.write_settings(box, founding=False)
        if by_signal and box not in self._down:
            self.signal(box, signal.SIGHUP)

    async def _spoiled(self, fault: BadLink, length: float) -> None:
        spans = [self.ledger.begin(box) for box in (fault.source, fault.target) if box]
        await self.links.spoil(fault, length)
        for span in spans:
            self.ledger.end(span)

    async def _server_crashed(self, ip: str, length: float) -> None:
        server = self._server_at(ip)
        if server is None:
            return
        span = self.ledger.begin(ip)
        await server.stop()
        await self._server_again(server, length)
        self.ledger.end(span)

    async def _server_left(self, ip: str, length: float) -> None:
        server = self._server_at(ip)
        if server is None or server.state != "ready":
            return
        span = self.ledger.begin(ip, planned=True)
        await server.drain()
        server.left_at = time.monotonic()
        await asyncio.sleep(LEAVING_PAUSE + length)
        # It may have crashed meanwhile.
        if self._server_at(ip) is server:
            await server.stop()
            await self._server_again(server, RESTART_DELAY)
        self.ledger.end(span)

    async def _answers_lost(self, ip: str, length: float) -> None:
        server = self._server_at(ip)
        if server is None:
            return
        span = self.ledger.begin(ip)
        server.usual = "lose"
        await asyncio.sleep(length)
        server.usual = "answer"
        self.ledger.end(span)

    async def _server_again(self, old: Server, pause: float) -> None:
        self.gone.append(old)
        self.servers.remove(old)
        await asyncio.sleep(pause)
        server = await self.add_server(old.ip, old.service)
        server.pause = EVENT_PAUSE

    def _server_at(self, ip: str) -> Server | None:
        return next((one for one in self.servers if one.ip == ip), None)

    def runs_of(self, request_id: str) -> int:
        """Return how often a request ran, at servers that are gone too."""
        return sum(server.count(request_id) for server in self.ever)

    @property
    def ever(self) -> Iterator[Server]:
        """All servers of the run, those that are gone included."""
        return itertools.chain(self.servers, self.gone)
