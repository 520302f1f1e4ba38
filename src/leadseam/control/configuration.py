"""The fleet's configuration: what operators create, and how a change applies.

Records travel as CBOR maps and as YAML under the same field names, so that the
durable form, the operators' schema and the files they write agree.
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
MAX_SLOTS = 1_024
ANY = "*"


class PoolKind(StrEnum):
    """What serves a pool."""

    ENGINE = "engine"
    SERVICE = "service"


class Section(StrEnum):
    """The tables of a configuration."""

    ACCOUNTS = "accounts"
    POOLS = "pools"
    UPSTREAMS = "upstreams"
    NEVER_REPEAT = "never_repeat"


class _ConfigRecord(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of the rows of a configuration."""


class ModelGrant(_ConfigRecord, frozen=True):
    """A model that an account may use.

    Args:
        model: Name of the model.
        versions: Versions allowed; empty allows all.
    """

    model: str
    versions: tuple[str, ...] = ()


class Account(_ConfigRecord, frozen=True, tag="account"):
    """A client account.

    Args:
        name: Its name.
        share: Weight against other accounts, 1 to `MAX_SHARE`.
        key_hashes: SHA-256 of its bearer keys, in hexadecimal.
        models: Models it may use.
        services: Plain services it may call.
        max_waiting: Waiting requests allowed at one entry.
        priority: Rank of its requests, in place of the route's; None leaves that.
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
    """Upstreams that can stand in for each other.

    Args:
        name: Its name; that of the service for a service pool.
        kind: What serves it.
        model: Model that its engines run; empty for services.
        version: Version of that model.
        max_connections: Connections that one upstream takes from all callers.
        engine: What is stated about its engines; None where nothing is.
        cold_rate: Requests a second that one of its upstreams bears while it is cold; 0
            where that is not stated.
    """

    name: str
    kind: PoolKind
    model: str = ""
    version: str = ""
    max_connections: int = 1_000
    engine: EngineProfile | None = None
    cold_rate: float = 0


class Upstream(_ConfigRecord, frozen=True, tag="upstream"):
    """One server and the sidecar beside it.

    Args:
        name: Its name.
        pool: Pool that it serves.
        ip: IP number of the server.
        port: Its port.
        sidecar_ip: IP number of the sidecar for entries.
        sidecar_port: Its port.
        slots: Requests that the server takes at once.
        box: Box that both run on.
        failure_domain: Failure domain of that box.
        draining: Whether it takes no new work.
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
    """Requests that must run at most once.

    Args:
        name: Name of the rule.
        account: Client account, or `ANY`.
        pool: Pool, or `ANY`.
        path_prefix: Start of the path towards the upstream.
    """

    name: str
    account: str = ANY
    pool: str = ANY
    path_prefix: str = "/"


ConfigRecord: TypeAlias = Account | Pool | Upstream | NeverRepeat


class Put(msgspec.Struct, frozen=True, tag="put"):
    """Create or replace a row."""

    record: ConfigRecord


class Delete(msgspec.Struct, frozen=True, tag="delete"):
    """Remove a row."""

    section: Section
    name: str


class Drain(msgspec.Struct, frozen=True, tag="drain"):
    """Set whether an upstream takes new work."""

    upstream: str
    draining: bool


Operation: TypeAlias = Put | Delete | Drain


class Configuration(msgspec.Struct, frozen=True):
    """All tables at one version; each maps names to rows.

    Args:
        version: Grows with each accepted change.
        accounts: Client accounts.
        pools: Pools of upstreams.
        upstreams: Upstreams that operators list; registered ones are not here.
        never_repeat: Rules on requests that must run at most once.
        routes: Routes by name; only a whole configuration brings them.
        limits: Bounds on what callers may send.
        document: Bytes of the operator's document that this was read from, if any.
    """

    version: int = 0
    accounts: dict[str, Account] = {}
    pools: dict[str, Pool] = {}
    upstreams: dict[str, Upstream] = {}
    never_repeat: dict[str, NeverRepeat] = {}
    routes: dict[str, Route] = {}
    limits: CallerLimits = CallerLimits()
    document: bytes = b""

    def __repr__(self) -> str:
        return (
            f"Configuration(version={self.version}, accounts={len(self.accounts)},"
            f" upstreams={len(self.upstreams)})"
        )

    def must_not_repeat(self, account: str, pool: str, path: str) -> bool:
        """Tell whether an operator's rule forbids to run a request twice."""
        return any(
            rule.account in (ANY, account)
            and rule.pool in (ANY, pool)
            and path.startswith(rule.path_prefix)
            for rule in self.never_repeat.values()
        )

    def apply(self, operations: tuple[Operation, ...]) -> Configuration:
        """Return the next version with operations applied in order, unchecked."""
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
        """Return one table."""
        table: dict[str, ConfigRecord] = getattr(self, section.value)
        return table

    def faults(self) -> tuple[str, ...]:
        """Name everything that is wrong, one line each."""
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
    """Name operations that refer to rows which do not exist."""
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
    """Tell whether a text is an IP number."""
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True
