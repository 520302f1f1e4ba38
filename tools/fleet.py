"""A fleet of real processes on the loopback address, for tests and measurements."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import json
import os
import signal
import subprocess
import sys
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

import aiohttp
import yaml

from leadseam.runtime.connector import DEFAULT_KEEPALIVE_S, LoopConnector
from tools.node import Node
from tools.platform import suspension
from tools.platform.suspension import SuspendableClock
from tools.ports import LOOPBACK, PortPool
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

OPERATOR_TOKEN = "operator-token"


def sha256(text: str) -> str:
    """Return the hexadecimal SHA-256 of a text."""
    return hashlib.sha256(text.encode()).hexdigest()


class Fleet:
    """All processes of a test, and their addresses.

    Args:
        folder: Folder for settings, logs and data.
        sources: Folder with the sources of the processes; empty for those of this one.
    """

    def __init__(self, folder: Path, *, sources: str = "") -> None:
        self.folder = folder
        self._environment = {"PYTHONPATH": sources} if sources else {}
        self.ports = PortPool()
        self.nodes: dict[str, Node] = {}
        self.config: dict[str, list[dict[str, Any]]] = {
            "accounts": [],
            "pools": [],
            "upstreams": [],
            "never_repeat": [],
        }
        self.replicas: dict[str, dict[str, Any]] = {}
        self.operator_ports: list[int] = []
        self.platform_list = ""
        self._http: aiohttp.ClientSession | None = None
        self._cleanups: list[Callable[[], Awaitable[None]]] = []
        self._clocks: dict[str, SuspendableClock] = {}

    @property
    def http(self) -> aiohttp.ClientSession:
        """Client session that is shared by the whole test."""
        if self._http is None:
            connector = LoopConnector(keepalive=DEFAULT_KEEPALIVE_S)
            timeout = aiohttp.ClientTimeout(total=120)
            self._http = aiohttp.ClientSession(connector=connector, timeout=timeout)
        return self._http

    async def close(self) -> None:
        """Kill all processes of the fleet and run the cleanups."""
        if self._http is not None:
            await self._http.close()
        for cleanup in self._cleanups:
            await cleanup()
        for node in self.nodes.values():
            if node.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    node.signal(signal.SIGCONT)
                node.kill()
        self.ports.close()

    def add_cleanup(self, cleanup: Callable[[], Awaitable[None]]) -> None:
        """Register a function that is called when the fleet is closed."""
        self._cleanups.append(cleanup)

    # Configuration

    def add_account(
        self,
        name: str,
        *,
        share: int = 1,
        models: tuple[str, ...] = (),
        services: tuple[str, ...] = (),
        max_waiting: int = 2_000,
    ) -> None:
        """Add a client account whose key is `key-NAME`."""
        row = {
            "name": name,
            "share": share,
            "key_hashes": [sha256(f"key-{name}")],
            "models": [{"model": model} for model in models],
            "services": list(services),
            "max_waiting": max_waiting,
        }
        self.config["accounts"].append(row)

    def add_pool(self, name: str, *, model: str = "") -> None:
        """Add a pool: of engines if it has a model, else of services."""
        row = {"name": name, "kind": "engine" if model else "service"}
        if model:
            row |= {"model": model, "version": "1"}
        self.config["pools"].append(row)

    def add_upstream(
        self,
        name: str,
        *,
        pool: str,
        kind: str,
        slots: int = 4,
        failure_domain: str = "a",
        **standin: Any,
    ) -> None:
        """Add an upstream with its stand-in and its sidecar."""
        port = self.ports.reserve()
        settings = {"kind": kind, "listen": _endpoint(port), "slots": slots, **standin}
        self._add_node(name, "standin", settings, [port], port)
        inner, admin = self.ports.reserve(), self.ports.reserve()
        row = {
            "name": name,
            "pool": pool,
            "ip": LOOPBACK,
            "port": port,
            "sidecar_ip": LOOPBACK,
            "sidecar_port": inner,
            "slots": slots,
            "box": f"box-{name}",
            "failure_domain": failure_domain,
        }
        self.config["upstreams"].append(row)
        sidecar = {
            "identity": self._identity(f"sidecar-{name}", f"box-{name}"),
            "upstream": name,
            "listen": _endpoint(inner),
            "admin": _endpoint(admin),
            "control": self.control_endpoints(),
            "platform_list": self.platform_list,
        }
        self._add_node(f"sidecar-{name}", "sidecar", sidecar, [inner, admin], admin)

    def add_platform(self) -> None:
        """Add the stand-in of the platform's list; call it before `add_upstream`."""
        port = self.ports.reserve()
        settings = {"kind": "platform", "listen": _endpoint(port)}
        self._add_node("platform", "standin", settings, [port], port)
        self.platform_list = self.url("platform", "/boxes")

    def add_entry(self, name: str, **settings: Any) -> None:
        """Add an entry."""
        port = self.ports.reserve()
        data = {
            "identity": self._identity(name, f"box-{name}"),
            "listen": _endpoint(port),
            "control": self.control_endpoints(),
            **settings,
        }
        self._add_node(name, "entry", data, [port], port)

    def add_control(self, count: int = 3) -> None:
        """Add the control replicas; call it before `add_entry` and `add_upstream`."""
        names = [f"control-{number}" for number in range(1, count + 1)]
        self.replicas = {name: _endpoint(self.ports.reserve()) for name in names}
        for name in names:
            operator, admin = self.ports.reserve(), self.ports.reserve()
            self.operator_ports.append(operator)
            data_dir = self.folder / f"data-{name}"
            data_dir.mkdir()
            settings = {
                "identity": self._identity(name, f"box-{name}"),
                "replicas": self.replicas,
                "operator": _endpoint(operator),
                "admin": _endpoint(admin),
                "data_dir": str(data_dir),
                "operators": {"anna": sha256(OPERATOR_TOKEN)},
            }
            inner = self.replicas[name]["port"]
            self._add_node(name, "control", settings, [inner, operator, admin], admin)

    def control_endpoints(self) -> list[dict[str, Any]]:
        """Return the inner endpoints of the control replicas."""
        return list(self.replicas.values())

    # Processes

    def start(self, name: str, *extra: str) -> None:
        """Write the settings of a process and start it."""
        node = self.nodes[name]
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(node.settings))
        command = [sys.executable, "-m", *self._program(node), *extra, str(path)]
        with open(node.log, "ab") as log:
            node.process = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, **self._environment},
            )

    def make_suspendable(self, name: str) -> None:
        """Let a process be suspended later; call it before `start`."""
        self._clocks[name] = SuspendableClock(self.folder / f"{name}.left-out")

    async def suspend(self, name: str, length: float) -> None:
        """Suspend a process for some seconds."""
        process = self.nodes[name].process
        assert process is not None
        await self._clocks[name].suspend(process, length)

    def _program(self, node: Node) -> list[str]:
        if node.name not in self._clocks:
            return [f"leadseam.cli.{node.program}"]
        return [suspension.MODULE, str(self._clocks[node.name].file), node.program]

    async def start_all(self) -> None:
        """Start all processes, apply the configuration and wait until all are ready."""
        control = self.names("control")
        for name in control:
            self.start(name, "--found")
        for name in self.nodes:
            if name not in control:
                self.start(name)
        await self.wait_ready(*control)
        assert await self.apply() == 0
        await self.wait_ready(*self.names("sidecar"), *self.names("entry"))
        await self.wait_healthy()

    def names(self, program: str) -> list[str]:
        """Return the names of the processes of a program."""
        return [node.name for node in self.nodes.values() if node.program == program]

    async def wait_ready(self, *names: str) -> None:
        """Wait until processes report that they are ready."""
        for name in names:
            await wait_until(partial(self.is_ready, name), f"{name} is ready")

    async def wait_healthy(self) -> None:
        """Wait until every entry may use every upstream."""
        for name in self.names("entry"):
            for row in self.config["upstreams"]:
                upstream = row["name"]
                check = partial(self._is_usable, name, upstream)
                await wait_until(check, f"{name} may use {upstream}")

    async def is_ready(self, name: str) -> bool:
        """Return whether a process reports that it is ready."""
        try:
            async with self.http.get(self.url(name, "/readyz")) as resp:
                return resp.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def metric(self, name: str, metric: str) -> dict[str, float]:
        """Return the values of a metric by the text of their labels."""
        async with self.http.get(self.url(name, "/metrics")) as resp:
            text = await resp.text()
        values = {}
        for line in text.splitlines():
            series, _, value = line.rpartition(" ")
            base, _, labels = series.partition("{")
            if base == f"leadseam_{metric}":
                values[labels.rstrip("}")] = float(value)
        return values

    def url(self, name: str, path: str) -> str:
        """Return a URL at the admin port (for an entry, at the callers' port)."""
        return f"http://{LOOPBACK}:{self.nodes[name].admin}{path}"

    # Operators

    async def ctl(self, *args: str, token: str = OPERATOR_TOKEN) -> tuple[int, str]:
        """Run leadseamctl and return its exit code and output."""
        ports = ",".join(f"{LOOPBACK}:{port}" for port in self.operator_ports)
        control = () if "--control" in args else ("--control", ports)
        command = ["-m", "leadseam.cli.ctl", *control, *args]
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            env={**os.environ, "LEADSEAM_TOKEN": token},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        out, _ = await process.communicate()
        assert process.returncode is not None
        return process.returncode, out.decode()

    async def apply(self) -> int:
        """Apply the configuration by leadseamctl and return the exit code."""
        path = self.folder / "desired.yaml"
        path.write_text(yaml.safe_dump(self.config))
        code, _ = await self.ctl("apply", str(path))
        return code

    async def wait_in_force(self, version: int) -> None:
        """Wait until a version is in force at every live node."""
        code, out = await self.ctl("--json", "wait", str(version), "--timeout", "60000")
        assert code == 0, out

    # Callers

    async def chat(
        self,
        entry: str,
        account: str,
        model: str,
        *,
        tokens: int = 8,
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a streaming chat request; return status and body."""
        body = {
            "model": model,
            "messages": [{"role": "user", "content": "explain the rate sheet"}],
            "max_tokens": tokens,
            "stream": True,
        }
        path = "/v1/chat/completions"
        return await self.post(entry, path, account, json.dumps(body).encode(), headers)

    async def post(
        self,
        entry: str,
        path: str,
        account: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a POST request of an account; return status and body."""
        all_headers = {
            "Authorization": f"Bearer key-{account}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        async with self.http.post(
            self.url(entry, path), data=body, headers=all_headers
        ) as resp:
            return resp.status, await resp.read()

    async def runs(self) -> dict[str, int]:
        """Return how often each named call ran, summed over the service stand-ins."""
        total: dict[str, int] = {}
        for node in self.nodes.values():
            if node.program != "standin" or node.settings["kind"] != "service":
                continue
            async with self.http.get(self.url(node.name, "/runs")) as resp:
                for key, count in (await resp.json()).items():
                    total[key] = total.get(key, 0) + count
        return total

    async def _is_usable(self, entry: str, upstream: str) -> bool:
        values = await self.metric(entry, "sidecar_usable")
        return values.get(f'upstream="{upstream}"') == 1.0

    def _identity(self, node: str, box: str) -> dict[str, str]:
        return {"node": node, "box": box, "failure_domain": "a"}

    def _add_node(
        self,
        name: str,
        program: str,
        settings: dict[str, Any],
        ports: list[int],
        admin: int,
    ) -> None:
        self.nodes[name] = Node(name, program, settings, ports, admin, self.folder)


def _endpoint(port: int) -> dict[str, Any]:
    return {"ip": LOOPBACK, "port": port}
