"""Schema of the settings files, one class for each program."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

Port = Annotated[int, Meta(ge=0, le=65_535)]
Positive = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all settings; rejects unknown keys."""


class Endpoint(_Settings, frozen=True):
    """Network address; `ip` must be an IP address, not a host name."""

    ip: str
    port: Port


class Identity(_Settings, frozen=True):
    """Name and location of a process.

    Args:
        node: Name of the process.
        box: Box that the process runs on.
        failure_domain: Failure domain of the box.
    """

    node: Name
    box: str = ""
    failure_domain: str = ""


class EntryLimits(_Settings, frozen=True):
    """Limits of an entry.

    Args:
        body_bytes: Maximum size of a request body.
        waiting_bytes: Maximum bytes held for callers: their connections, heads, and
            bodies, waiting or still being read.
        default_deadline: Deadline in milliseconds for callers that set none.
        max_attempts: Maximum attempts at one request, including the first.
        window_bytes: Maximum bytes of a response in flight to a slow caller.
    """

    body_bytes: Positive = 4 * 1024 * 1024
    waiting_bytes: Positive = 128 * 1024 * 1024
    default_deadline: Positive = 600_000
    max_attempts: Positive = 3
    window_bytes: Positive = 256 * 1024


class EntrySettings(_Settings, frozen=True):
    """Settings of `leadseam-entry`.

    Args:
        identity: Name and location of the process.
        listen: Address for callers and admin requests.
        control: Internal addresses of the control replicas.
        limits: Limits of request sizes, waiting and attempts.
        drain_delay: Milliseconds for which an entry still accepts requests after a
            shutdown signal, so that the load balancer can notice it is not ready.
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
        identity: Name and location of the process.
        upstream: Name of the sidecar's upstream in the configuration.
        listen: Internal address for entries.
        admin: Address for admin requests.
        control: Internal addresses of the control replicas.
        platform_list: URL of the platform's list of boxes, or an empty string.
        leave_delay: Minimum milliseconds between leaving and exit.
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
        identity: Name and location of the process; `node` must be a key of `replicas`.
        replicas: Internal addresses of all replicas, including this one.
        operator: Address of the operators' RPC service.
        admin: Address for admin requests.
        data_dir: Data directory; it must exist.
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
        kind: What the stand-in emulates: `engine`, `service` or `platform`.
        listen: Address of the stand-in.
        slots: Requests that an engine runs concurrently.
        token_interval: Milliseconds between an engine's tokens.
        service_time: Milliseconds that a service call takes.
    """

    kind: str
    listen: Endpoint
    slots: Positive = 8
    token_interval: int = 2
    service_time: int = 5
