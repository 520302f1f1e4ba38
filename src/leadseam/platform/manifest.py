"""Decoding of the operators' JSON document into a configuration."""

from __future__ import annotations

import hashlib
import math
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from leadseam.control.configuration import Account, Configuration, Pool, PoolKind
from leadseam.control.routes import (
    CallerLimits,
    EngineProfile,
    PoolShare,
    Repeat,
    ReplyForm,
    Route,
)
from leadseam.errors import DocumentError
from leadseam.platform.names import SAFE, STREAMING

if TYPE_CHECKING:
    from collections.abc import Iterable

DEFAULT_MODEL = "default"
PATH_CHARACTERS = "/?&=%:@!$'()*+,;"
"""Characters of a path and query that are sent as they are (RFC 3986, section 3.3)."""


class _Split(msgspec.Struct, frozen=True):
    service: str
    weight: float = 1


class _Route(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    host: str
    path_prefix: str
    timeout_ms: float
    kind: str = "unsafe"
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    target_latency_ms: float = 1_000
    max_attempts: int = 1
    priority: int = 0
    allow_anonymous: bool = False
    resumable: bool = False
    gap_target_ms: float = 0
    allowed_regions: tuple[str, ...] = ()


class _Model(msgspec.Struct, frozen=True):
    name: str = DEFAULT_MODEL


class _Engine(msgspec.Struct, frozen=True, rename="camel"):
    slots: int
    kv_capacity: int
    stride: float = 1
    models: tuple[_Model, ...] = ()
    moves: bool = False
    kv_token_bytes: float = 0
    link_mbps: float = 0
    most: int = 0


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: int = 1_000
    cold_per_s: float = 0
    engine: _Engine | None = None
    health_path: str = ""


class _Limits(msgspec.Struct, frozen=True, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000
    tokens_per_s: float = 0


class _Tenant(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    allowed_regions: tuple[str, ...] = ()


class _Manifest(msgspec.Struct, frozen=True):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = _Limits()
    tenants: tuple[_Tenant, ...] | msgspec.UnsetType | None = msgspec.UNSET


def read_manifest(document: bytes) -> Configuration:
    """Decode an operator's document.

    The caller still has to validate the result with `Configuration.faults`.

    Raises:
        DocumentError: If the document is not valid JSON, does not match the schema, or
            lists a tenant twice with different settings.
    """
    try:
        manifest = msgspec.json.decode(document, type=_Manifest)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        raise DocumentError(f"cannot read the document: {exc}") from exc
    return Configuration(
        version=manifest.version,
        accounts=_accounts(manifest.tenants or ()),
        # The key is present as long as callers need one: an empty list lets nobody in.
        keys_demanded=manifest.tenants is not msgspec.UNSET,
        pools={entry.name: _pool(entry) for entry in manifest.services},
        routes=_key_by_name(tuple(_route(entry) for entry in manifest.routes)),
        limits=_limits(manifest.limits),
        health_paths={
            entry.name: quote("/" + entry.health_path.lstrip("/"), safe=PATH_CHARACTERS)
            for entry in manifest.services
            if entry.health_path
        },
        document=document,
    )


def _key_by_name(routes: tuple[Route, ...]) -> dict[str, Route]:
    """Key routes by name.

    The platform uses names as labels, so they may be repeated: a repeated name gets a
    `+` appended.
    """

    routes_by_name: dict[str, Route] = {}
    for route in routes:
        name = route.name
        while name in routes_by_name:
            name += "+"
        routes_by_name[name] = msgspec.structs.replace(route, name=name)
    return routes_by_name


def _route(source: _Route) -> Route:
    split = source.traffic_split or (_Split(source.service),)
    return Route(
        name=source.name,
        host=source.host,
        prefix=source.path_prefix,
        pools=tuple(PoolShare(entry.service, round(entry.weight)) for entry in split),
        repeat=Repeat.SAFE if source.kind == SAFE else Repeat.ONCE,
        reply=ReplyForm.EVENTS if source.kind == STREAMING else ReplyForm.WHOLE,
        resumable=source.resumable,
        max_attempts=max(source.max_attempts, 1),
        time_limit=math.ceil(source.timeout_ms),
        latency_objective=round(source.target_latency_ms),
        max_pause=round(source.gap_target_ms),
        priority=source.priority,
        anonymous=source.allow_anonymous,
        regions=source.allowed_regions,
    )


def _pool(source: _Service) -> Pool:
    engine = source.engine
    if engine is None:
        return Pool(
            source.name,
            PoolKind.SERVICE,
            max_connections=source.max_connections,
            cold_rate=max(source.cold_per_s, 0),
        )
    return Pool(
        source.name,
        PoolKind.ENGINE,
        model=engine.models[0].name if engine.models else DEFAULT_MODEL,
        max_connections=source.max_connections,
        engine=EngineProfile(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            tokens_per_event=max(round(engine.stride), 1),
            fetches=engine.moves,
            token_bytes=round(engine.kv_token_bytes),
            link_mbps=engine.link_mbps,
            event_calls=engine.most,
        ),
        cold_rate=max(source.cold_per_s, 0),
    )


def _limits(source: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=source.max_header_bytes,
        body_bytes=source.max_body_bytes,
        header_timeout=round(source.header_timeout_ms),
        idle_timeout=round(source.idle_timeout_ms),
        tokens_per_s=round(source.tokens_per_s),
    )


def _accounts(tenants: Iterable[_Tenant]) -> dict[str, Account]:
    """Key accounts by name; a tenant that is listed again has all keys listed."""
    accounts: dict[str, Account] = {}
    for tenant in tenants:
        account = _account(tenant)
        known = accounts.get(account.name)
        if known is not None:
            keys = tuple(dict.fromkeys(known.key_hashes + account.key_hashes))
            known, account = (
                msgspec.structs.replace(one, key_hashes=keys)
                for one in (known, account)
            )
            if known != account:
                raise DocumentError(
                    f"tenant {account.name!r} is listed twice with different settings"
                )
        accounts[account.name] = account
    return accounts


def _account(source: _Tenant) -> Account:
    hashes = (hashlib.sha256(key.encode()).hexdigest() for key in source.api_keys)
    return Account(
        source.name,
        key_hashes=tuple(hashes),
        priority=source.priority,
        regions=source.allowed_regions,
    )
