"""The operators' JSON document, decoded into a configuration."""

from __future__ import annotations

import hashlib
import math

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

DEFAULT_MODEL = "default"


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


class _Service(msgspec.Struct, frozen=True, rename="camel"):
    name: str
    max_connections: int = 1_000
    cold_per_s: float = 0
    engine: _Engine | None = None


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
    tenants: tuple[_Tenant, ...] | None = None


def read_manifest(document: bytes) -> Configuration:
    """Decode an operator's document; the result still has to be checked for faults.

    Raises:
        DocumentError: If it is not whole or not of the expected form.
    """
    try:
        manifest = msgspec.json.decode(document, type=_Manifest)
    except (msgspec.DecodeError, ValueError) as exc:
        raise DocumentError(f"cannot read the document: {exc}") from exc
    return Configuration(
        version=manifest.version,
        accounts={one.name: _account(one) for one in manifest.tenants or ()},
        pools={one.name: _pool(one) for one in manifest.services},
        routes=_named(tuple(_route(one) for one in manifest.routes)),
        limits=_limits(manifest.limits),
        document=document,
    )


def _named(routes: tuple[Route, ...]) -> dict[str, Route]:
    """Key routes by name; names are labels here, and may occur twice."""
    table: dict[str, Route] = {}
    for route in routes:
        name = route.name
        while name in table:
            name += "+"
        table[name] = msgspec.structs.replace(route, name=name)
    return table


def _route(wire: _Route) -> Route:
    split = wire.traffic_split or (_Split(wire.service),)
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.path_prefix,
        pools=tuple(PoolShare(one.service, round(one.weight)) for one in split),
        repeat=Repeat.SAFE if wire.kind == SAFE else Repeat.ONCE,
        reply=ReplyForm.EVENTS if wire.kind == STREAMING else ReplyForm.WHOLE,
        resumable=wire.resumable,
        max_attempts=max(wire.max_attempts, 1),
        time_limit=math.ceil(wire.timeout_ms),
        latency_objective=round(wire.target_latency_ms),
        max_pause=round(wire.gap_target_ms),
        priority=wire.priority,
        anonymous=wire.allow_anonymous,
        regions=wire.allowed_regions,
    )


def _pool(wire: _Service) -> Pool:
    engine = wire.engine
    if engine is None:
        return Pool(
            wire.name,
            PoolKind.SERVICE,
            max_connections=wire.max_connections,
            cold_rate=max(wire.cold_per_s, 0),
        )
    return Pool(
        wire.name,
        PoolKind.ENGINE,
        model=engine.models[0].name if engine.models else DEFAULT_MODEL,
        max_connections=wire.max_connections,
        engine=EngineProfile(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            tokens_per_event=max(round(engine.stride), 1),
        ),
        cold_rate=max(wire.cold_per_s, 0),
    )


def _limits(wire: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_timeout=round(wire.header_timeout_ms),
        idle_timeout=round(wire.idle_timeout_ms),
        tokens_per_s=round(wire.tokens_per_s),
    )


def _account(wire: _Tenant) -> Account:
    hashes = (hashlib.sha256(key.encode()).hexdigest() for key in wire.api_keys)
    return Account(
        wire.name,
        key_hashes=tuple(hashes),
        priority=wire.priority,
        regions=wire.allowed_regions,
    )
