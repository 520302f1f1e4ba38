"""Starts the programs of the deploy file as processes on loopback addresses."""

from __future__ import annotations

import contextlib
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Callable
from pathlib import Path

from support.http import request
from support.record import Record

ROOT = Path(__file__).resolve().parents[2]
ZONES = ("north", "middle", "south")
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": "false",
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "retrySlack": 54,
    "recoveryS": 12,
    "passMs": 120,
    "retryAfterS": 10,
    "quotaWindowS": 4,
}
"""The bounds of the settings file in the deploy page."""
FRONT, READY, CONTROL, INTERNAL = range(4)
INTERNAL_PORTS = 4
BUILD = ROOT / "target" / "deps"


class CannotRunError(Exception):
    """The case could not be played, so it shows nothing."""


def wait_until(holds: Callable[[], bool], what: str, timeout: float = 20) -> None:
    """Wait until a condition holds.

    Raises:
        CannotRunError: If it does not hold in time.
    """
    end = time.monotonic() + timeout
    while not holds():
        if time.monotonic() > end:
            raise CannotRunError(f"not within {timeout} s: {what}")
        time.sleep(0.05)


class Fleet:
    """Processes of core and edge machines, each with a loopback address of its own.

    Args:
        record: Record of the run.
        cores: Number of core machines, of which the first three are the seeds.
        edges: Number of edge machines.
    """

    def __init__(self, record: Record, *, cores: int = 5, edges: int = 2) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        net = random.randint(10, 250)
        self.cores = [f"127.77.{net}.{10 + number}" for number in range(cores)]
        self.edges = [f"127.77.{net}.{40 + number}" for number in range(edges)]
        self.sides = [f"127.77.{net}.{70 + number}" for number in range(20)]
        self._ports = _free_ports([*self.cores, *self.edges], 3 + INTERNAL_PORTS)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
        self._roles = {role["on"]: role for role in roles.values()}
        if not (BUILD / "leadseam").is_dir():
            raise CannotRunError("the build of the deploy file is missing")

    def front(self, ip: str) -> tuple[str, int]:
        """Return the address of an edge machine for clients."""
        return ip, self._ports[FRONT]

    def controls(self) -> list[tuple[str, int]]:
        """Return the addresses of all core machines for servers and operators."""
        return [(ip, self._ports[CONTROL]) for ip in self.cores]

    def start_all(self) -> None:
        """Start all machines for the first time."""
        for ip in [*self.cores, *self.edges]:
            self.start(ip, bootstrap=True)

    def start(self, ip: str, *, bootstrap: bool = False) -> None:
        """Start the process of a machine with the command of the deploy file."""
        role = self._roles["core" if ip in self.cores else "edge"]
        conf = self.folder / f"{ip}.conf"
        conf.write_text(self._settings(ip, bootstrap=bootstrap))
        kept = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment = {
            **kept,
            **role.get("env", {}),
            "PYTHONPATH": str(BUILD),
            "PYTHONDONTWRITEBYTECODE": "1",
            "LEADSEAM_NODE_FILE": str(conf),
        }
        with (self.folder / f"{ip}.log").open("ab") as log:
            self.processes[ip] = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write("process started", machine=ip)

    def signal(self, ip: str, number: signal.Signals) -> None:
        """Send a signal to the process of a machine."""
        self.processes[ip].send_signal(number)
        self.record.write("signal sent", machine=ip, signal=number.name)

    def lose_disks(self, ips: list[str]) -> None:
        """Kill the processes of some machines at once and remove their data."""
        for ip in ips:
            self.signal(ip, signal.SIGKILL)
        for ip in ips:
            self.processes[ip].wait()
            shutil.rmtree(self.folder / f"data-{ip}")
            self.record.write("disk lost", machine=ip)

    def is_ready(self, ip: str) -> bool:
        """Return whether an edge machine says that it is ready."""
        target = (ip, self._ports[READY])
        return request(target, "GET", "/leadseam/readyz", timeout=1).status == 200

    def wait_ready(self) -> None:
        """Wait until all edge machines are ready."""
        for ip in self.edges:
            wait_until(lambda ip=ip: self.is_ready(ip), f"{ip} is ready")

    def log(self, ip: str) -> str:
        """Return what the process of a machine has logged."""
        return (self.folder / f"{ip}.log").read_text()

    def check_running(self) -> None:
        """Check that no process has ended by itself.

        Raises:
            CannotRunError: If one has.
        """
        ended = [ip for ip, one in self.processes.items() if one.poll() is not None]
        if ended:
            raise CannotRunError(f"processes have ended: {ended}")

    def close(self) -> None:
        """End all processes and remove their files."""
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def _settings(self, ip: str, *, bootstrap: bool) -> str:
        is_core = ip in self.cores
        zone = ZONES[int(ip.rpartition(".")[2]) % len(ZONES)]
        internal = self._ports[INTERNAL]
        seeds = ",".join(f"{one}:{port}" for one, port in self.controls()[:3])
        fields: dict[str, object] = {
            "node": f"{'core' if is_core else 'edge'}-{ip.rpartition('.')[2]}",
            "role": "my-control" if is_core else "my-entry",
            "machineClass": "core" if is_core else "edge",
            "serves": "control_plane" if is_core else "edge",
            "ip": ip,
            "zone": zone,
            "region": "lowlands",
            **{f"zones.{name}": "lowlands" for name in ZONES},
            "internalPorts": f"{internal},{internal + INTERNAL_PORTS - 1}",
            "seeds": seeds,
            "bootstrap": str(bootstrap).lower(),
            "toleranceMember": str(is_core).lower(),
            "limits.cpuShare": 0.86 if is_core else 0.817,
            "limits.cores": 3 if is_core else 1,
            "limits.memoryMb": 296 if is_core else 300,
            "limits.maxFds": 4096,
            "limits.linkMbps": 1000.0,
            "limits.diskMb": 128 if is_core else 0,
            "discovery": "registration",
            "entry": "vip",
            "heartbeatMs": 1200,
            "contracts": "base,drain,config,cost,retry,recover,engine,stream,tenants",
            "tolerate.machines": 2,
            "tolerate.zones": 0,
            "tolerate.regions": 0,
            **{f"bounds.{name}": value for name, value in BOUNDS.items()},
            "configMode": "highest",
        }
        if is_core:
            folder = self.folder / f"data-{ip}"
            folder.mkdir(exist_ok=True)
            fields["listen.control"] = f"{ip}:{self._ports[CONTROL]}"
            fields["dataDir"] = folder
        else:
            fields["listen.front"] = f"{ip}:{self._ports[FRONT]}"
            fields["listen.ready"] = f"{ip}:{self._ports[READY]}"
        return "".join(f"{key}={value}\n" for key, value in fields.items())


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free at all addresses."""
    for _ in range(200):
        first = random.randrange(12_000, 30_000)
        if all(_is_free(ip, first + one) for ip in ips for one in range(count)):
            return [first + one for one in range(count)]
    raise CannotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True
