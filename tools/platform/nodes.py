"""Control and entry processes on loopback addresses, with stand-in servers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp

from leadseam.platform import names
from leadseam.platform.settings import METRICS_OFFSET
from leadseam.routing.retry_budget import RetryLimits
from leadseam.runtime.connector import LoopConnector
from tools.platform import suspension
from tools.platform.operator import Operator
from tools.platform.standin import HEALTH_PATH, Server
from tools.platform.suspension import SuspendableClock
from tools.ports import ReservedPorts
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

HOST = "shop.example"
KEY = "key-of-bank"
INTERNAL_PORTS = METRICS_OFFSET + 1
"""Consecutive ports of a box for links between nodes and for its metrics."""
EARNING_CALLS = 60
"""Calls of which half the ratio allows six retries; the slack is leased later."""
_requests = itertools.count(1)


@dataclass
class Answer:
    """Response that a caller received; `status` is 0 if the connection was cut."""

    status: int
    body: bytes
    headers: dict[str, str]
    cut: bool = False


@dataclass
class Platform:
    """Control boxes, entries and servers, each with its own loopback address.

    Args:
        folder: Folder for logs, settings files and data folders.
        processes: Processes of boxes by address.
        servers: Running servers.
        reports_starts: Whether servers report when they started, and start again under
            the id that they had.
        suspendable: Whether boxes can be suspended.
        entries: Number of entry boxes.
        limits: Limits that the settings of boxes state, by key.
        module: Module that runs a node.
        retry_slack: Retries beyond the ratio that the whole fleet may make.
    """

    folder: Path
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    servers: list[Server] = field(default_factory=list)
    reports_starts: bool = False
    suspendable: bool = False
    entries: int = 2
    limits: dict[str, float] = field(default_factory=dict)
    retry_slack: int = 100
    module: str = "leadseam.cli.node"

    @property
    def retry_limits(self) -> RetryLimits:
        """Limits on retries that the settings state."""
        return RetryLimits(ratio=0.2, slack=self.retry_slack, window=10_000)

    def __post_init__(self) -> None:
        self.control_ips = [f"127.0.0.{number}" for number in (21, 22, 23)]
        self.spare_ips = [f"127.0.0.{number}" for number in (24, 25)]
        self.entry_ips = [f"127.0.0.{31 + number}" for number in range(self.entries)]
        self.server_ips = [f"127.0.0.{number}" for number in range(41, 47)]
        all_ips = [
            *self.control_ips,
            *self.spare_ips,
            *self.entry_ips,
            *self.server_ips,
        ]
        self._log_offsets: dict[str, int] = {}
        self._clocks: dict[str, SuspendableClock] = {}
        self._ports = ReservedPorts()
        self.control_port = self._ports.reserve(all_ips)
        self.internal_port = self._ports.reserve(all_ips, count=INTERNAL_PORTS)
        self.front_port = self._ports.reserve(all_ips)
        self.ready_port = self._ports.reserve(all_ips)
        self.server_port = self._ports.reserve(all_ips)
        self.controls = [f"{ip}:{self.control_port}" for ip in self.control_ips]
        self.seeds = self.controls
        self.operator = Operator(self.controls)
        self.http = aiohttp.ClientSession(
            connector=LoopConnector(),
            auto_decompress=False,
            skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
        )

    async def close(self) -> None:
        """End all processes and servers."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        for server in self.servers:
            await server.stop()
        await self.http.close()
        self._ports.close()

    async def start_all(self) -> None:
        """Start all boxes, a model service and a plain one, and configure them."""
        for ip in [*self.control_ips, *self.entry_ips]:
            self.start(ip)
        for ip in self.server_ips[:2]:
            await self.add_server(ip, "model")
        for ip in self.server_ips[2:4]:
            await self.add_server(ip, "plain")
        assert await self.operator.replace(document(1)) == 200
        for ip in self.entry_ips:
            await self.wait_ready(ip)
            await self.wait_served(ip)

    async def add_server(
        self,
        ip: str,
        service: str,
        *,
        earlier: str = "",
        zone: str = "a",
        version: str = "v1",
    ) -> Server:
        """Start a server.

        Args:
            ip: Address that it listens on.
            service: Service that it registers for.
            earlier: Id under which it ran before. Defaults to a new one.
            zone: Failure domain that it reports.
            version: Version of its software.
        """
        server = Server(ip, self.server_port, service, self.controls, zone=zone)
        server.version = version
        if self.reports_starts:
            server.born = time.time_ns() // 1_000_000
            server.instance = earlier or server.instance
        server.advertised = self.advertised(ip)
        await server.start()
        self.servers.append(server)
        return server

    def advertised(self, ip: str) -> str:
        """Return the address that a server registers."""
        return f"{ip}:{self.server_port}"

    def servers_of(self, service: str) -> list[Server]:
        """Return the servers of a service."""
        return [server for server in self.servers if server.service == service]

    def start(self, ip: str, *, bootstrap: bool = True) -> None:
        """Start the process of a box."""
        self.write_settings(ip, bootstrap=bootstrap)
        role = "control" if ip in self.control_ips else "entry"
        path = self.folder / f"{ip}.conf"
        with open(self.folder / f"{ip}.log", "ab") as log:
            self._log_offsets[ip] = log.tell()
            self.processes[ip] = subprocess.Popen(
                [sys.executable, "-m", *self._program(ip), role],
                env={
                    **os.environ,
                    **self.environment(ip),
                    names.SETTINGS_VARIABLE: str(path),
                },
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def replace_control(self, lost_ip: str) -> str:
        """Replace a lost control box by an empty one, and return the new address."""
        new_ip = self.spare_ips.pop(0)
        self.control_ips[self.control_ips.index(lost_ip)] = new_ip
        addresses = {f"{lost_ip}:{self.control_port}": f"{new_ip}:{self.control_port}"}
        self.seeds = [addresses.get(one, one) for one in self.seeds]
        # Changed in place, as operators and servers share this list.
        self.controls[:] = [addresses.get(one, one) for one in self.controls]
        self.start(new_ip, bootstrap=False)
        return new_ip

    def write_settings(self, ip: str, *, bootstrap: bool = True) -> None:
        """Write the settings file of a box."""
        data_dir = self.folder / f"data-{ip}"
        data_dir.mkdir(exist_ok=True)
        fields: dict[str, Any] = {
            "node": f"box-{ip.replace('.', '-')}",
            "ip": ip,
            "zone": "a",
            "zones.a": "east",
            "zones.b": "west",
            "zones.c": "north",
            "internalPorts": (
                f"{self.internal_port_of(ip)},{self.internal_port_of(ip) + 9}"
            ),
            "seeds": ",".join(self.seeds),
            "bootstrap": str(bootstrap).lower(),
            "heartbeatMs": 100,
            "tolerate.machines": 1,
            "bounds.ackMs": 500,
            "bounds.graceS": 8,
            "bounds.retryBudgetRatio": self.retry_limits.ratio,
            "bounds.budgetWindowS": self.retry_limits.window // 1_000,
            "bounds.retrySlack": self.retry_slack,
        }
        if ip in self.control_ips:
            fields["listen.control"] = f"{ip}:{self.control_port}"
            fields["dataDir"] = data_dir
        else:
            fields["listen.front"] = f"{ip}:{self.front_port}"
            fields["listen.ready"] = f"{ip}:{self.ready_port}"
        fields |= self.limits
        lines = "".join(f"{key}={value}\n" for key, value in fields.items())
        (self.folder / f"{ip}.conf").write_text(lines)

    def metrics_address(self, ip: str) -> str:
        """Return the address on which a box serves its metrics."""
        return f"{ip}:{self.internal_port_of(ip) + METRICS_OFFSET}"

    def internal_port_of(self, ip: str) -> int:
        """Return the first of the ports that a box uses for links between nodes."""
        return self.internal_port

    def environment(self, ip: str) -> dict[str, str]:
        """Return the additional variables of the next process of a box."""
        return {}

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to the process of a box."""
        self.processes[ip].send_signal(number)

    async def suspend(self, ip: str, length: float) -> None:
        """Suspend a box for some seconds."""
        await self._clocks[ip].suspend(self.processes[ip], length)

    def _program(self, ip: str) -> list[str]:
        if not self.suspendable:
            return [self.module]
        if ip not in self._clocks:
            # All processes of a box share the clock of that box.
            self._clocks[ip] = SuspendableClock(self.folder / f"{ip}.left-out")
        return [suspension.MODULE, str(self._clocks[ip].file), "node"]

    def kill(self, ip: str) -> None:
        """Kill the process of a box."""
        self.processes[ip].kill()
        self.processes[ip].wait()

    def log(self, ip: str, *, offset: int = 0) -> list[dict[str, Any]]:
        """Return the log lines of a box.

        Args:
            ip: Address of the box.
            offset: Offset in bytes at which to start reading.
        """
        text = (self.folder / f"{ip}.log").read_bytes()[offset:].decode()
        return [json.loads(line) for line in text.splitlines() if line.startswith("{")]

    def last_voters(self, ip: str) -> set[str]:
        """Return the voters in the last membership line of a control process."""
        return self._last_members(ip, "voters")

    def last_learners(self, ip: str) -> set[str]:
        """Return the learners in the last membership line of a control process."""
        return self._last_members(ip, "learners")

    def _last_members(self, ip: str, kind: str) -> set[str]:
        # Lines of an earlier process do not apply to this one, which may have lost its
        # disk and may not have logged anything yet.
        lines = self.log(ip, offset=self._log_offsets.get(ip, 0))
        changes = [line for line in lines if line["message"] == "membership changed"]
        identities = changes[-1][kind] if changes else []
        return {identity.partition("#")[0] for identity in identities}

    async def wait_ready(self, ip: str) -> None:
        """Wait until an entry reports that it is ready."""
        await wait_until(lambda: self.is_ready(ip), f"{ip} is ready")

    async def is_ready(self, ip: str) -> bool:
        """Return whether an entry reports that it is ready."""
        url = f"http://{ip}:{self.ready_port}{names.READY_PATH}"
        try:
            async with self.http.get(url) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def wait_served(self, ip: str) -> None:
        """Wait until an entry reaches a server of each service."""

        async def served() -> bool:
            paths = ("/once/warm", "/stream/warm")
            return all([(await self.call(ip, path)).status == 200 for path in paths])

        await wait_until(served, f"{ip} reaches the servers")

    async def earn_retries(self, ip: str, route: str = "safe") -> None:
        """Call a service so often that an entry's budget allows some retries."""
        for _ in range(EARNING_CALLS):
            await self.call(ip, f"/{route}/earn")

    async def call(
        self,
        ip: str,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"{}",
        headers: dict[str, str] | None = None,
        request_id: str = "",
        key: str | None = KEY,
        on_data: Callable[[bytes], None] = lambda _: None,
    ) -> Answer:
        """Send a request and read the response until it ends or is cut.

        An entry that is short of processor time, as on a busy test machine, refuses
        requests with `entry_busy` before it does any work. Such a request is sent
        again after the delay in the refusal.

        Args:
            on_data: Called with all data received so far, after each read.
        """
        while True:
            answer = await self._call_once(
                ip, path, method, body, headers, request_id, key, on_data
            )
            if answer.status != 503 or b'"entry_busy"' not in answer.body:
                return answer
            await asyncio.sleep(float(answer.headers[names.RETRY_AFTER]))

    async def _call_once(
        self,
        ip: str,
        path: str,
        method: str,
        body: bytes,
        headers: dict[str, str] | None,
        request_id: str,
        key: str | None,
        on_data: Callable[[bytes], None],
    ) -> Answer:
        request_headers = {
            "Host": HOST,
            names.REQUEST_ID: request_id or f"r-{next(_requests)}",
            names.DEADLINE: "5000",
            **({names.AUTHORIZATION: names.BEARER + key} if key else {}),
            **(headers or {}),
        }
        url = f"http://{ip}:{self.front_port}{path}"
        received = b""
        try:
            async with self.http.request(
                method, url, data=body, headers=request_headers
            ) as resp:
                async for data in resp.content.iter_any():
                    received += data
                    on_data(received)
                return Answer(resp.status, received, dict(resp.headers))
        except (aiohttp.ClientError, OSError):
            return Answer(0, received, {}, cut=True)


def document(version: int, **changes: Any) -> bytes:
    """Return an operator's document with the routes that the tests use."""

    common: dict[str, Any] = {"host": HOST, "timeoutMs": 5_000, "targetLatencyMs": 500}
    routes: list[dict[str, Any]] = [
        {"name": "once", "pathPrefix": "/once/", "kind": "unsafe", "service": "plain"},
        {
            "name": "safe",
            "pathPrefix": "/safe/",
            "kind": "safe",
            "service": "plain",
            "maxAttempts": 2,
        },
        {
            "name": "open",
            "pathPrefix": "/open/",
            "kind": "safe",
            "service": "plain",
            "allowAnonymous": True,
        },
        {
            "name": "stream",
            "pathPrefix": "/stream/",
            "kind": "streaming",
            "service": "model",
            "maxAttempts": 2,
            "resumable": True,
        },
        {
            "name": "fixed",
            "pathPrefix": "/stream-fixed/",
            "kind": "streaming",
            "service": "model",
        },
    ]
    data = {
        "version": version,
        "routes": [common | route for route in routes],
        "services": [
            {"name": "plain", "maxConnections": 100, "healthPath": HEALTH_PATH},
            {
                "name": "model",
                "healthPath": HEALTH_PATH,
                "maxConnections": 100,
                "engine": {
                    "slots": 4,
                    "kvCapacity": 100_000,
                    "models": [{"name": "m"}],
                },
            },
        ],
        "limits": {"maxBodyBytes": 1_000_000},
        "tenants": [{"name": "bank", "apiKeys": [KEY], "priority": 1}],
    }
    return json.dumps(data | changes).encode()
