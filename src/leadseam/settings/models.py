"""Shapes of the settings files, one class for each program."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Port = Annotated[int, Meta(ge=0, le=65_535)]
Positive = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all settings; unknown keys are refused."""


class Endpoint(_Settings, frozen=True):
    """An address; `ip` must be an IP number."""

    ip: str
    port: Port


class Identity(_Settings, frozen=True):
    """Who and where a process is.

    Args:
        node: Name of the process.
        box: Box that it runs on.
        failure_domain: Failure domain of the box.
    """

    node: Name
    box: str = ""
    failure_domain: str = ""


class EntryLimits(_Settings, frozen=True):
    """Limits of an entry.

    Args:
        body_bytes: Largest request body.
        waiting_bytes: Memory that waiting bodies may take together.
        default_deadline: Milliseconds a caller without a deadline may wait.
        max_attempts: Attempts at one request, the first included.
        window_bytes: Bytes of a response in flight towards a slow caller.
    """

    body_bytes: Positive = 4 * 1024 * 1024
    waiting_bytes: Positive = 128 * 1024 * 1024
    default_deadline: Positive = 600_000
    max_attempts: Positive = 3
    window_bytes: Positive = 256 * 1024


class EntrySettings(_Settings, frozen=True):
    """Settings of `leadseam-entry`.

    Args:
        identity: Who and where.
        listen: Address for callers and for admin requests.
        control: Inner addresses of the control replicas.
        limits: Limits.
        drain_delay: Milliseconds for which a stopping entry still takes requests,
            so that the balancer can see it is not ready.
        log_level: Lowest level to log.
    """

    identity: Identity
    listen: Endpoint
    control: tuple[Endpoint, ...]
    limits: EntryLimits = EntryLimits()
    drain_delay: int = 2_000
    log_level: str = "info"


class SidecarSettings(_Settings, frozen=True):
    """Settings of `leadseam-sidecar`.

    Args:
        identity: Who and where.
        upstream: Name of its upstream in the configuration.
        listen: Inner address for entries.
        admin: Address for admin requests.
        control: Inner addresses of the control replicas.
        platform_list: URL of the platform's list of boxes, or empty.
        leave_delay: Milliseconds from leaving to exit at the least.
        log_level: Lowest level to log.
    """

    identity: Identity
    upstream: str
    listen: Endpoint
    admin: Endpoint
    control: tuple[Endpoint, ...]
    platform_list: str = ""
    leave_delay: int = 200
    log_level: str = "info"


class ControlSettings(_Settings, frozen=True):
    """Settings of `leadseam-control`.

    Args:
        identity: Who and where; `node` must be a key of `replicas`.
        replicas: Inner addresses of all replicas, this one included.
        operator: Address of the operators' RPC.
        admin: Address for admin requests.
        data_dir: Data folder; must exist.
        operators: SHA-256 of each operator's token, by name.
        log_level: Lowest level to log.
    """

    identity: Identity
    replicas: dict[str, Endpoint]
    operator: Endpoint
    admin: Endpoint
    data_dir: str
    operators: dict[str, str]
    log_level: str = "info"


class StandinSettings(_Settings, frozen=True):
    """Settings of `leadseam-standin`.

    Args:
        kind: What it imitates: `engine`, `service` or `platform`.
        listen: Its address.
        slots: Requests that an engine runs at once.
        token_interval: Milliseconds between an engine's tokens.
        service_time: Milliseconds that a service call takes.
    """

    kind: str
    listen: Endpoint
    slots: Positive = 8
    token_interval: int = 2
    service_time: int = 5
