"""A small fleet within one process, as run by `make demo`."""

from __future__ import annotations

import asyncio
import hashlib
import secrets
import socket
from typing import TYPE_CHECKING

from leadseam.cli._client import OperatorClient
from leadseam.clock import Millis, sleep
from leadseam.control.configuration import (
    Account,
    ConfigRecord,
    ModelGrant,
    NeverRepeat,
    Pool,
    PoolKind,
    Put,
    Upstream,
)
from leadseam.control.program import ControlProgram
from leadseam.entry.program import EntryProgram
from leadseam.schema import operator_pb2 as pb
from leadseam.schema.convert import operation_to_message
from leadseam.settings.models import (
    ControlSettings,
    Endpoint,
    EntrySettings,
    Identity,
    SidecarSettings,
    StandinSettings,
)
from leadseam.sidecar.program import SidecarProgram
from leadseam.standin.program import StandinProgram

if TYPE_CHECKING:
    from pathlib import Path

    from leadseam.runtime.process import Program

LOOPBACK = "127.0.0.1"
REPLICAS = 3
ENTRIES = 2
ENGINES = 2
SERVICES = 1
READY_POLL: Millis = 50
API_KEY = "demo-key"

_BANNER = """
leadseam runs: {replicas} control replicas, {entries} entries, {engines} engines and
{services} service, all stand-ins of one process. Copy a line to another terminal.

A chat:
  curl -N http://127.0.0.1:{port}/v1/chat/completions -H 'Authorization: Bearer {key}' \
-d '{{"model":"rates","stream":true,"messages":[{{"role":"user","content":"hello"}}]}}'

A call that runs at most once (send it twice: the second gets the first's answer):
  curl http://127.0.0.1:{port}/services/slips/run/slip-1 -X POST \
-H 'Authorization: Bearer {key}' -H 'Idempotency-Key: slip-1' -d '{{"amount":20}}'

Metrics:
  curl http://127.0.0.1:{port}/metrics

Operators:
  LEADSEAM_TOKEN={token} .venv/bin/leadseamctl --control {control} status

Stop it with Ctrl-C.
"""


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        port: int = sock.getsockname()[1]
        return port


def _endpoint(port: int = 0) -> Endpoint:
    return Endpoint(ip=LOOPBACK, port=port or _free_port())


class LocalFleet:
    """All roles on the loopback interface, in one event loop.

    Args:
        folder: Directory for the replicas' data.
        port: Port of the first entry, or 0 for a free one.
        seconds: Seconds after which the fleet stops, or 0 for no limit.
    """

    def __init__(self, folder: Path, *, port: int, seconds: int) -> None:
        self.entry_port = port or _free_port()
        self._seconds = seconds
        self._token = secrets.token_hex(8)
        self._records: list[ConfigRecord] = []
        self._programs: list[Program] = []
        self._replicas: list[ControlProgram] = []
        self._operators: list[Endpoint] = []
        self._tasks: list[asyncio.Task[None]] = []
        control = self._add_control(folder)
        self._add_pools(control)
        self._add_entries(control)

    async def start(self) -> None:
        """Start all programs and apply the demo's configuration."""
        for program in self._programs:
            await program.start()
            self._tasks.append(asyncio.create_task(program.run()))
        await self._apply()
        print(self._format_banner(), flush=True)

    async def run(self) -> None:
        """Serve until cancelled, or for the given time."""
        if self._seconds:
            await asyncio.sleep(self._seconds)
        else:
            await asyncio.gather(*self._tasks)

    async def drain(self) -> None:
        """Do nothing: a demo has no requests worth waiting for."""

    async def stop(self) -> None:
        """Stop all programs."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for program in reversed(self._programs):
            await program.stop()

    async def _apply(self) -> None:
        while not any(program.replica.is_current() for program in self._replicas):
            await sleep(READY_POLL)
        request = pb.ApplyRequest(
            change_id="demo",
            expect_version=0,
            operations=[operation_to_message(Put(record)) for record in self._records],
        )
        await OperatorClient(self._operators, self._token).apply(request)

    def _format_banner(self) -> str:
        control = ",".join(
            f"{endpoint.ip}:{endpoint.port}" for endpoint in self._operators
        )
        return _BANNER.format(
            replicas=REPLICAS,
            entries=ENTRIES,
            engines=ENGINES,
            services=SERVICES,
            port=self.entry_port,
            key=API_KEY,
            token=self._token,
            control=control,
        )

    # Construction of the programs

    def _add_control(self, folder: Path) -> tuple[Endpoint, ...]:
        names = [f"control-{number}" for number in range(1, REPLICAS + 1)]
        replicas = {name: _endpoint() for name in names}
        for name in names:
            data_dir = folder / name
            data_dir.mkdir()
            operator = _endpoint()
            self._operators.append(operator)
            settings = ControlSettings(
                identity=Identity(node=name),
                replicas=replicas,
                operator=operator,
                admin=_endpoint(),
                data_dir=str(data_dir),
                operators={"demo": _digest(self._token)},
            )
            program = ControlProgram(settings, bootstrap=True)
            self._replicas.append(program)
            self._programs.append(program)
        return tuple(replicas.values())

    def _add_pools(self, control: tuple[Endpoint, ...]) -> None:
        engines = Pool("rates-1", PoolKind.ENGINE, model="rates", version="1")
        services = Pool("slips", PoolKind.SERVICE)
        account = Account(
            "demo",
            key_hashes=(_digest(API_KEY),),
            models=(ModelGrant("rates"),),
            services=("slips",),
        )
        rule = NeverRepeat("slips-once", pool="slips")
        self._records += [engines, services, account, rule]
        for number in range(1, ENGINES + 1):
            self._add_upstream(f"engine-{number}", engines, control)
        for number in range(1, SERVICES + 1):
            self._add_upstream(f"slips-{number}", services, control)

    def _add_upstream(
        self, name: str, pool: Pool, control: tuple[Endpoint, ...]
    ) -> None:
        server, sidecar = _endpoint(), _endpoint()
        standin = StandinSettings(
            kind=pool.kind.value, listen=server, token_interval=20
        )
        settings = SidecarSettings(
            identity=Identity(node=f"sidecar-{name}"),
            upstream=name,
            listen=sidecar,
            admin=_endpoint(),
            control=control,
        )
        self._programs += [StandinProgram(standin), SidecarProgram(settings)]
        record = Upstream(
            name, pool.name, server.ip, server.port, sidecar.ip, sidecar.port
        )
        self._records.append(record)

    def _add_entries(self, control: tuple[Endpoint, ...]) -> None:
        for number in range(1, ENTRIES + 1):
            listen = _endpoint(self.entry_port if number == 1 else 0)
            settings = EntrySettings(
                identity=Identity(node=f"entry-{number}"),
                listen=listen,
                control=control,
            )
            self._programs.append(EntryProgram(settings))


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode()).hexdigest()
