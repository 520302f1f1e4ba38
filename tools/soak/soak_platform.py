"""The nodes, servers and links of a soak run."""

from __future__ import annotations

import asyncio
import itertools
import signal
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tools.platform.nodes import INTERNAL_PORTS, Platform
from tools.soak.disturbances import DisturbanceLog
from tools.soak.links import FaultyLinks
from tools.soak.plan import Boxes

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tools.platform.standin import Server
    from tools.spoil.spoiler import Spoiler

RESTART_DELAY = 0.2
"""Interval of the checks that restart processes which ended by themselves."""
SPARE_BOXES = 4
"""Spare control boxes of a run; a seed of 20 s replaces one or two boxes."""
ENTRY_LIMITS = {"limits.cpuShare": 0.4, "limits.memoryMb": 256}
"""Limits that entries are told. From four entries on, a busy one redirects callers."""
BREAKS_EVERY = 3
"""Of so many requests at a server of several versions one breaks off its stream."""
EVENT_PAUSE = 0.05
"""Seconds between the events of a stream, so that faults hit open streams."""


@dataclass
class SoakPlatform(Platform):
    """Real nodes whose inner links and connections to servers run through proxies.

    Args:
        disturbances: Log of disturbances.
        links: The proxies.
        ended_servers: Servers that have ended and were replaced.
        versions: Number of software versions of the model servers.
        unframed: Whether half of the answers end with their connection. Entries reach
            servers without a proxy then, as only a server's own address shows that it
            has ended.
        spoiler: Answers the calls of the run, with mutations; None for sound answers.
            Entries reach servers without a proxy then, too.
        other_sources: Folder with the sources of another build, of which each second
            process that starts is; empty for none.

    Attributes:
        down: Boxes whose process must not be restarted until a fault is repaired.
        replaced_boxes: Control boxes that were replaced.
    """

    disturbances: DisturbanceLog = field(default_factory=DisturbanceLog)
    links: FaultyLinks = field(default_factory=FaultyLinks)
    ended_servers: list[Server] = field(default_factory=list)
    versions: int = 1
    unframed: bool = False
    other_sources: str = ""
    spoiler: Spoiler | None = None

    def __post_init__(self) -> None:
        super().__post_init__()
        self.limits = ENTRY_LIMITS
        self.entry_ips = [f"127.0.1.{number + 1}" for number in range(self.entries)]
        self.spare_ips = [f"127.0.2.{number + 1}" for number in range(SPARE_BOXES)]
        self.replaced_boxes: set[str] = set()
        self._successors: dict[str, str] = {}
        nodes = [*self.control_ips, *self.spare_ips, *self.entry_ips]
        every = [*nodes, *self.server_ips]
        self._inner_ports = {
            ip: self._ports.reserve(every, count=INTERNAL_PORTS) for ip in nodes
        }
        self._proxy_port = self._ports.reserve(every)
        self.down: set[str] = set()
        self._restarter: asyncio.Task[None] | None = None
        self._version_numbers = itertools.count()
        self.starts: Counter[str] = Counter()

    @property
    def boxes(self) -> Boxes:
        """Addresses of all boxes."""
        servers = tuple(server.ip for server in self.servers)
        return Boxes(tuple(self.control_ips), tuple(self.entry_ips), servers)

    def internal_port_of(self, ip: str) -> int:
        """Return the inner port of a box; each box has its own."""
        return self._inner_ports[ip]

    def environment(self, ip: str) -> dict[str, str]:
        """Return the variables that choose the build of the next process."""
        if not self.other_sources:
            return {}
        if self.starts.total() % 2:
            self.starts["other"] += 1
            return {"PYTHONPATH": self.other_sources}
        self.starts["this"] += 1
        return {}

    def advertised(self, ip: str) -> str:
        """Return the address of a server's proxy."""
        is_direct = self.unframed or self.spoiler is not None
        return f"{ip}:{self.server_port if is_direct else self._proxy_port}"

    async def open(self) -> None:
        """Start all proxies, nodes and servers."""
        controls = [*self.control_ips, *self.spare_ips]
        nodes = [*controls, *self.entry_ips]
        await self.links.add_mesh(nodes, controls, self.internal_port_of)
        mixed = self.versions > 1
        for ip in self.server_ips if mixed else self.server_ips[:4]:
            await self.links.add_server(ip, self.server_port, self._proxy_port)
        await self.start_all()
        for ip in self.server_ips[4:] if mixed else ():
            await self.add_server(ip, "model", version=self._next_version())
        for server in self.servers:
            self._prepare(server)
        self._restarter = asyncio.create_task(self._restart_ended())

    async def close(self) -> None:
        """Stop everything that was started."""
        if self._restarter is not None:
            self._restarter.cancel()
        await super().close()
        await self.links.close()

    async def _restart_ended(self) -> None:
        """Restart processes that ended by themselves, as the users' platform does."""
        while True:
            await asyncio.sleep(RESTART_DELAY)
            for ip, process in list(self.processes.items()):
                if ip not in self.down and process.poll() is not None:
                    self.start(ip, bootstrap=False)

    def current_box(self, box: str) -> str:
        """Return the address of the box itself, or of its latest successor."""
        while box in self._successors:
            box = self._successors[box]
        return box

    def start_successor(self, replaced: str) -> None:
        """Start an empty control box as the successor of one."""
        self._successors[replaced] = self.replace_control(replaced)

    async def stop_for_good(self, box: str, *, graceful: bool) -> None:
        """End the process of a control box for good, by a planned stop or a kill."""
        self.replaced_boxes.add(box)
        self.down.add(box)
        process = self.processes[box]
        if not graceful:
            self.kill(box)
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        while process.poll() is None:
            await asyncio.sleep(RESTART_DELAY)

    async def replace_server(self, old: Server, pause: float) -> None:
        """Start a new server in place of one that has ended.

        Args:
            old: Server that has ended.
            pause: Seconds until the new server starts.
        """
        if old not in self.servers:
            # Another, overlapping fault has already replaced it.
            return
        self.ended_servers.append(old)
        self.servers.remove(old)
        await asyncio.sleep(pause)
        server = await self.add_server(
            old.ip,
            old.service,
            earlier=old.instance,
            zone=old.zone,
            version=self._next_version(),
        )
        self._prepare(server)

    def _prepare(self, server: Server) -> None:
        """Set how a server streams."""
        server.delay = EVENT_PAUSE
        server.spoiler = self.spoiler
        if self.versions > 1:
            server.names_version = True
        if self.versions > 1 or self.unframed:
            server.breaks_every = BREAKS_EVERY
        if self.unframed:
            server.unframed_every = 2

    def _next_version(self) -> str:
        """Return the version of the next server that starts."""
        return f"v{1 + next(self._version_numbers) % self.versions}"

    def server_at(self, ip: str) -> Server | None:
        """Return the server that runs at an address, or None."""
        return next((one for one in self.servers if one.ip == ip), None)

    def runs_of(self, request_id: str) -> int:
        """Return how often a request ran, including at servers that have ended."""
        return sum(server.count(request_id) for server in self.all_servers)

    @property
    def all_servers(self) -> Iterator[Server]:
        """All servers of the run, including those that have ended."""
        return itertools.chain(self.servers, self.ended_servers)
