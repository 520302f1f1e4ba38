"""The fleet's configuration: its records, its operations and its validation.

Records are encoded as CBOR and as YAML maps with the same field names, so that the
stored form, the operators' RPC schema and the operators' files agree.
"""

from __future__ import annotations

import ipaddress
from enum import StrEnum
from typing import TypeAlias

import msgspec

from leadseam.control.routes import (
    CallerLimits,
    EngineProfile,
    Route,
    route_faults,
)

MAX_SHARE = 1_000
"""Maximum share of an account."""
MAX_SLOTS = 1_024
"""Maximum number of slots of an upstream."""
ANY = "*"
"""Wildcard for the account or the pool of a rule."""


class PoolKind(StrEnum):
    """Kind of upstreams in a pool: inference engines, or plain services."""

    ENGINE = "engine"
    SERVICE = "service"


class Section(StrEnum):
    """Tables of a configuration that operations change.

    The values are the names of the fields of `Configuration`.
    """

    ACCOUNTS = "accounts"
    POOLS = "pools"
    UPSTREAMS = "upstreams"
    NEVER_REPEAT = "never_repeat"


class _ConfigRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the rows of a configuration."""


class ModelGrant(_ConfigRecord, frozen=True):
    """Permission to use a model.

    Args:
        model: Name of the model.
        versions: Versions allowed; empty allows all.
    """

    model: str
    versions: tuple[str, ...] = ()


class Account(_ConfigRecord, frozen=True, tag="account"):
    """A client account.

    Args:
        name: Name of the account.
        share: Weight relative to other accounts, 1 to `MAX_SHARE`.
        key_hashes: SHA-256 of its bearer keys, in hexadecimal.
        models: Models it may use.
        services: Plain services it may call.
        max_waiting: Maximum number of its requests that wait at one entry.
        priority: Priority of its requests; None uses the priority of the route.
        regions: Regions in which its requests may be served; empty allows all.
    """

    name: str
    share: int = 1
    key_hashes: tuple[str, ...] = ()
    models: tuple[ModelGrant, ...] = ()
    services: tuple[str, ...] = ()
    max_waiting: int = 1_000
    priority: int | None = None
    regions: tuple[str, ...] = ()


class Pool(_ConfigRecord, frozen=True, tag="pool"):
    """A pool of interchangeable upstreams.

    Args:
        name: Name of the pool; for a service pool, the name of the service.
        kind: Whether engines or a plain service serve it.
        model: Model that its engines run; empty for services.
        version: Version of that model.
        max_connections: Connections that one upstream accepts from all callers.
        engine: Stated properties of its engines; None if the operator states none.
        cold_rate: Requests per second that one of its upstreams can serve while it is
            cold; 0 if not stated.
    """

    name: str
    kind: PoolKind
    model: str = ""
    version: str = ""
    max_connections: int = 1_000
    engine: EngineProfile | None = None
    cold_rate: float = 0


class Upstream(_ConfigRecord, frozen=True, tag="upstream"):
    """A server together with its sidecar.

    Args:
        name: Name of the upstream.
        pool: Name of the pool that it serves.
        ip: IP address of the server.
        port: Port of the server.
        sidecar_ip: IP address at which entries reach the sidecar.
        sidecar_port: Port at which entries reach the sidecar.
        slots: Maximum number of concurrent requests.
        box: Box on which the server and the sidecar run.
        failure_domain: Failure domain of that box.
        draining: Whether it accepts no new requests.
    """

    name: str
    pool: str
    ip: str
    port: int
    sidecar_ip: str
    sidecar_port: int
    slots: int = 8
    box: str = ""
    failure_domain: str = ""
    draining: bool = False


class NeverRepeat(_ConfigRecord, frozen=True, tag="never_repeat"):
    """A rule for requests that must run at most once.

    Args:
        name: Name of the rule.
        account: Client account that it applies to, or `ANY`.
        pool: Pool that it applies to, or `ANY`.
        path_prefix: Prefix of the path that is sent to the upstream.
    """

    name: str
    account: str = ANY
    pool: str = ANY
    path_prefix: str = "/"


ConfigRecord: TypeAlias = Account | Pool | Upstream | NeverRepeat


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Creates or replaces a row."""

    record: ConfigRecord


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Removes a row."""

    section: Section
    name: str


class Drain(msgspec.Struct, frozen=True, tag="drain"):
    """Sets whether an upstream is draining and accepts no new requests."""

    upstream: str
    draining: bool


Operation: TypeAlias = Put | Delete | Drain


class Configuration(msgspec.Struct, frozen=True):
    """One version of the configuration. Each table maps names to rows.

    Args:
        version: Version number, which increases with each accepted change.
        accounts: Client accounts.
        pools: Pools of upstreams.
        upstreams: Upstreams that operators configure, without those that register.
        never_repeat: Rules for requests that must run at most once.
        routes: Routes; set only by replacing the whole configuration.
        limits: Limits on callers' requests.
        document: The operator's document that this was parsed from, or empty.
        keys_demanded: Whether callers need a key of a client account; None if older
            processes or single operations made the configuration.
        health_paths: Path of the health checks of each pool's upstreams. It is no field
            of `Pool`, as earlier processes refuse pools with unknown fields.
    """

    version: int = 0
    accounts: dict[str, Account] = {}
    pools: dict[str, Pool] = {}
    upstreams: dict[str, Upstream] = {}
    never_repeat: dict[str, NeverRepeat] = {}
    routes: dict[str, Route] = {}
    limits: CallerLimits = CallerLimits()
    document: bytes = b""
    keys_demanded: bool | None = None
    health_paths: dict[str, str] = {}

    def __repr__(self) -> str:
        return (
            f"Configuration(version={self.version}, accounts={len(self.accounts)},"
            f" upstreams={len(self.upstreams)})"
        )

    @property
    def demands_keys(self) -> bool:
        """Whether callers need a key, even if no account has one left."""
        if self.keys_demanded is None:
            return bool(self.accounts)
        return self.keys_demanded

    def must_not_repeat(self, account: str, pool: str, path: str) -> bool:
        """Return whether a rule forbids running a request more than once."""
        return any(
            rule.account in (ANY, account)
            and rule.pool in (ANY, pool)
            and path.startswith(rule.path_prefix)
            for rule in self.never_repeat.values()
        )

    def apply(self, operations: tuple[Operation, ...]) -> Configuration:
        """Return the next version, with operations applied in order.

        The result is not validated; see `faults`.
        """
        tables: dict[Section, dict[str, ConfigRecord]] = {
            section: dict(self.table(section)) for section in Section
        }
        for operation in operations:
            _apply_one(tables, operation)
        merged = {section.value: tables[section] for section in Section}
        return msgspec.structs.replace(
            self, version=self.version + 1, document=b"", **merged
        )

    def table(self, section: Section) -> dict[str, ConfigRecord]:
        """Return the table of a section."""
        table: dict[str, ConfigRecord] = getattr(self, section.value)
        return table

    def faults(self) -> tuple[str, ...]:
        """Validate the configuration and return one line for each fault."""
        found: list[str] = []
        for account in self.accounts.values():
            found += _account_faults(account)
        for pool in self.pools.values():
            found += _pool_faults(pool)
        for upstream in self.upstreams.values():
            found += _upstream_faults(upstream, self.pools)
        for rule in self.never_repeat.values():
            found += self._rule_faults(rule)
        found += route_faults(self.routes.values(), self.pools)
        found += _duplicate_keys(self.accounts)
        found += _duplicate_sidecars(self.upstreams)
        return tuple(found)

    def _rule_faults(self, rule: NeverRepeat) -> list[str]:
        where = f"never_repeat {rule.name}"
        found = []
        if rule.account != ANY and rule.account not in self.accounts:
            found.append(f"{where}: no account {rule.account!r}")
        if rule.pool != ANY and rule.pool not in self.pools:
            found.append(f"{where}: no pool {rule.pool!r}")
        return found


def section_of(record: ConfigRecord) -> Section:
    """Return the table that a row belongs to."""
    match record:
        case Account():
            return Section.ACCOUNTS
        case Pool():
            return Section.POOLS
        case Upstream():
            return Section.UPSTREAMS
        case NeverRepeat():
            return Section.NEVER_REPEAT


def _apply_one(
    tables: dict[Section, dict[str, ConfigRecord]], operation: Operation
) -> None:
    match operation:
        case Put(record=record):
            tables[section_of(record)][record.name] = record
        case Delete(section=section, name=name):
            tables[section].pop(name, None)
        case Drain(upstream=name, draining=draining):
            row = tables[Section.UPSTREAMS].get(name)
            if isinstance(row, Upstream):
                changed = msgspec.structs.replace(row, draining=draining)
                tables[Section.UPSTREAMS][name] = changed


def operation_faults(
    configuration: Configuration, operations: tuple[Operation, ...]
) -> tuple[str, ...]:
    """Return one line for each operation on a row that does not exist."""
    found = []
    for operation in operations:
        match operation:
            case Delete(section=section, name=name):
                if name not in configuration.table(section):
                    found.append(f"delete {section.value}: no {name!r}")
            case Drain(upstream=name):
                if name not in configuration.upstreams:
                    found.append(f"drain: no upstream {name!r}")
            case Put():
                pass
    return tuple(found)


def _account_faults(account: Account) -> list[str]:
    where = f"account {account.name}"
    found = []
    if not account.name:
        found.append("account: empty name")
    if not 1 <= account.share <= MAX_SHARE:
        found.append(f"{where}: share must be 1 to {MAX_SHARE}, got {account.share}")
    if account.max_waiting < 1:
        found.append(f"{where}: max_waiting must be at least 1")
    for digest in account.key_hashes:
        if len(digest) != 64 or not all(char in "0123456789abcdef" for char in digest):
            found.append(f"{where}: key hash must be 64 hexadecimal digits")
    return found


def _pool_faults(pool: Pool) -> list[str]:
    if not pool.name:
        return ["pool: empty name"]
    if pool.kind is PoolKind.ENGINE and not pool.model:
        return [f"pool {pool.name}: an engine pool needs a model"]
    return []


def _upstream_faults(upstream: Upstream, pools: dict[str, Pool]) -> list[str]:
    where = f"upstream {upstream.name}"
    found = []
    if not upstream.name:
        found.append("upstream: empty name")
    if upstream.pool not in pools:
        found.append(f"{where}: no pool {upstream.pool!r}")
    for field in ("ip", "sidecar_ip"):
        if not is_ip(getattr(upstream, field)):
            found.append(f"{where}: {field} must be an IP number")
    for field in ("port", "sidecar_port"):
        if not 1 <= getattr(upstream, field) <= 65_535:
            found.append(f"{where}: {field} must be 1 to 65535")
    if not 1 <= upstream.slots <= MAX_SLOTS:
        found.append(f"{where}: slots must be 1 to {MAX_SLOTS}")
    return found


def _duplicate_keys(accounts: dict[str, Account]) -> list[str]:
    owners: dict[str, str] = {}
    found = []
    for account in accounts.values():
        for digest in account.key_hashes:
            owner = owners.setdefault(digest, account.name)
            if owner != account.name:
                found.append(f"account {account.name}: shares a key with {owner}")
    return found


def _duplicate_sidecars(upstreams: dict[str, Upstream]) -> list[str]:
    owners: dict[tuple[str, int], str] = {}
    found = []
    for row in upstreams.values():
        owner = owners.setdefault((row.sidecar_ip, row.sidecar_port), row.name)
        if owner != row.name:
            found.append(f"upstream {row.name}: same sidecar address as {owner}")
    return found


def is_ip(text: str) -> bool:
    """Return whether a text is an IP address."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
