"""Parsing of the platform's settings file.

Each line has the form `a.b=value`; lists are separated by commas.
"""

from __future__ import annotations

import os
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from leadseam.errors import SettingsError
from leadseam.feed.evacuation_server import RESEND_LIMIT
from leadseam.platform.names import SETTINGS_VARIABLE
from leadseam.routing.retry_budget import RetryLimits
from leadseam.settings.models import Endpoint

if TYPE_CHECKING:
    from leadseam.clock import Millis

MILLIS_PER_SECOND = 1_000
FILE_DESCRIPTORS = 200
"""Descriptors that the platform keeps for files; sockets share the others."""
METRICS_OFFSET = 1
"""Offset of the metrics port in the range of internal ports that the platform gives."""


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """Settings of one process.

    Args:
        node: Name of the box that the process runs on.
        ip: IP address of that box.
        failure_domain: Failure domain of that box.
        regions: Region of each failure domain.
        front: Address for callers, or None.
        ready: Address for readiness checks, or None.
        control: Address for upstreams and operators, or None.
        internal_port: Port for links between the system's own processes.
        metrics_port: Port for metrics.
        seeds: Internal addresses of some control boxes.
        bootstrap: Whether the whole system starts for the first time.
        data_dir: Data folder, or None on a box without a disk.
        loss_tolerance: Number of control boxes that may be lost at once.
        heartbeat_interval: Milliseconds between the heartbeats of an upstream.
        resend_limit: Milliseconds during which operators may send an order again.
        grace: Milliseconds from the request to stop until the process is killed.
        retry_limits: Fleet-wide limits on retries.
        processor_share: Share of a core that the process may use; 0 if not stated.
        memory_mb: Memory that the process may use, in MB; 0 if not stated.
        max_sockets: Sockets that the process may have open; 0 if not stated.
    """

    node: str
    ip: str
    failure_domain: str
    regions: dict[str, str]
    front: Endpoint | None
    ready: Endpoint | None
    control: Endpoint | None
    internal_port: int
    metrics_port: int
    seeds: tuple[Endpoint, ...]
    bootstrap: bool
    data_dir: str | None
    loss_tolerance: int
    heartbeat_interval: Millis
    resend_limit: Millis
    grace: Millis
    retry_limits: RetryLimits
    processor_share: float = 0.0
    memory_mb: int = 0
    max_sockets: int = 0

    @classmethod
    def parse(cls, text: str, name: str) -> NodeSettings:
        """Parse the content of a settings file.

        Args:
            text: Content of the file.
            name: Name of the file for error messages.

        Raises:
            SettingsError: If a line or value is invalid; names file, key and expected
                form.
        """
        fields = _FieldReader(_parse_lines(text, name), name)
        internal_port = fields.integer_list("internalPorts")[0]
        return cls(
            node=fields.text("node"),
            ip=fields.text("ip"),
            failure_domain=fields.text("zone"),
            regions=fields.table("zones"),
            front=fields.address("listen.front"),
            ready=fields.address("listen.ready"),
            control=fields.address("listen.control"),
            internal_port=internal_port,
            metrics_port=internal_port + METRICS_OFFSET,
            seeds=fields.seeds(internal_port),
            bootstrap=fields.text("bootstrap", "false") == "true",
            data_dir=fields.text("dataDir", "") or None,
            loss_tolerance=fields.integer("tolerate.machines", 0),
            heartbeat_interval=fields.integer("heartbeatMs", 1_000),
            resend_limit=fields.integer("bounds.ackMs", RESEND_LIMIT),
            grace=fields.integer("bounds.graceS", 8) * MILLIS_PER_SECOND,
            retry_limits=fields.retry_limits(),
            processor_share=fields.number("limits.cpuShare", 0.0),
            memory_mb=fields.integer("limits.memoryMb", 0),
            max_sockets=max(fields.integer("limits.maxFds", 0) - FILE_DESCRIPTORS, 0),
        )

    def internal_endpoint(self, ip: str) -> Endpoint:
        """Return the address of a box for links between the system's own processes."""
        return Endpoint(ip=ip, port=self.internal_port)


class _FieldReader:
    """Typed access to the fields of a settings file."""

    def __init__(self, fields: dict[str, str], name: str) -> None:
        self._fields = fields
        self._name = name

    def text(self, key: str, default: str | None = None) -> str:
        value = self._fields.get(key, default)
        if value is None:
            raise SettingsError(f"{self._name}: {key}: missing")
        return value

    def number(self, key: str, default: float) -> float:
        value = self._fields.get(key)
        if not value:
            return default
        try:
            return float(value)
        except ValueError as exc:
            raise self._invalid_value(key, "a number", value) from exc

    def integer(self, key: str, default: int) -> int:
        return round(self.number(key, default))

    def table(self, key: str) -> dict[str, str]:
        """Return the fields whose names start with a key, without that prefix."""
        prefix = f"{key}."
        return {
            name.removeprefix(prefix): value
            for name, value in self._fields.items()
            if name.startswith(prefix)
        }

    def integer_list(self, key: str) -> list[int]:
        value = self.text(key)
        try:
            return [int(item) for item in value.split(",")]
        except ValueError as exc:
            raise self._invalid_value(key, "whole numbers", value) from exc

    def address(self, key: str) -> Endpoint | None:
        value = self._fields.get(key)
        if not value:
            return None
        try:
            return read_address(value)
        except ValueError as exc:
            raise self._invalid_value(key, "IP:PORT", value) from exc

    def seeds(self, internal_port: int) -> tuple[Endpoint, ...]:
        """Return the seeds with the internal port.

        The file lists them with the operators' port.
        """
        value = self._fields.get("seeds", "")
        try:
            addresses = [read_address(item) for item in value.split(",") if item]
        except ValueError as exc:
            raise self._invalid_value("seeds", "IP:PORT", value) from exc
        return tuple(
            Endpoint(ip=endpoint.ip, port=internal_port) for endpoint in addresses
        )

    def retry_limits(self) -> RetryLimits:
        default = RetryLimits()
        window = self.number("bounds.budgetWindowS", default.window / MILLIS_PER_SECOND)
        return RetryLimits(
            ratio=self.number("bounds.retryBudgetRatio", default.ratio),
            slack=self.integer("bounds.retrySlack", default.slack),
            window=round(window * MILLIS_PER_SECOND),
        )

    def _invalid_value(self, key: str, expected: str, value: str) -> SettingsError:
        return SettingsError(f"{self._name}: {key}: expected {expected}, got {value!r}")


def read_address(text: str) -> Endpoint:
    """Parse an address of the form `IP:PORT`.

    Raises:
        ValueError: If the text does not have this form.
    """
    ip, _, port = text.rpartition(":")
    if not ip:
        raise ValueError(f"no port in {text!r}")
    return Endpoint(ip=ip, port=int(port))


def settings_path() -> Path:
    """Return the path of the settings file of this process.

    Raises:
        SettingsError: If the environment variable for it is not set.
    """
    value = os.environ.get(SETTINGS_VARIABLE)
    if not value:
        raise SettingsError(f"environment variable {SETTINGS_VARIABLE} is not set")
    return Path(value)


def load_node_settings(path: Path) -> NodeSettings:
    """Read and parse a settings file.

    Raises:
        SettingsError: If it cannot be read or is invalid.

    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(f"{path}: cannot read: {exc}") from exc
    return NodeSettings.parse(text, str(path))


def _parse_lines(text: str, name: str) -> dict[str, str]:
    fields: dict[str, str] = {}
    for number, line in enumerate(text.splitlines(), start=1):
        if not line.strip():
            continue
        key, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"{name}: line {number}: expected KEY=VALUE")
        fields[key.strip()] = value.strip()
    return fields
