"""Decoding of the operators' document."""

from __future__ import annotations

import copy
import hashlib
import json
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadseam.control.configuration import Account, Configuration, Pool, PoolKind
from leadseam.control.routes import EngineProfile, PoolShare, Repeat, ReplyForm, Route
from leadseam.errors import DocumentError
from leadseam.platform import manifest
from leadseam.platform.manifest import read_manifest

if TYPE_CHECKING:
    from collections.abc import Callable

DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "a.example",
            "pathPrefix": "/x/",
            "kind": "streaming",
            "timeoutMs": 15000,
            "targetLatencyMs": 800,
            "priority": 1,
            "trafficSplit": [
                {"service": "s", "weight": 90},
                {"service": "t", "weight": 10},
            ],
            "maxAttempts": 2,
            "allowAnonymous": False,
            "stickySessions": True,
            "resumable": True,
            "gapTargetMs": 300,
        },
        {
            "name": "r-2",
            "host": "a.example",
            "pathPrefix": "/y/",
            "kind": "safe",
            "timeoutMs": 1000,
            "service": "t",
            "allowAnonymous": True,
        },
    ],
    "services": [
        {
            "name": "s",
            "maxConnections": 370,
            "engine": {
                "slots": 64,
                "kvCapacity": 511815,
                "stride": 5,
                "models": [{"name": "m"}],
            },
        },
        {"name": "t", "maxConnections": 110},
    ],
    "limits": {"maxBodyBytes": 100, "tokensPerS": 140000},
    "tenants": [{"name": "bank", "apiKeys": ["k"], "priority": 1}],
}


def encode(**changes: Any) -> bytes:
    """Return the document with changed fields."""
    return json.dumps(DOCUMENT | changes).encode()


def test_a_document_becomes_a_configuration() -> None:
    document = encode()
    configuration = read_manifest(document)
    assert configuration.version == 7
    assert configuration.document == document
    assert configuration.faults() == ()
    assert configuration.routes["r-1"] == Route(
        name="r-1",
        host="a.example",
        prefix="/x/",
        pools=(PoolShare("s", 90), PoolShare("t", 10)),
        repeat=Repeat.ONCE,
        reply=ReplyForm.EVENTS,
        resumable=True,
        max_attempts=2,
        time_limit=15_000,
        latency_objective=800,
        max_pause=300,
        priority=1,
        anonymous=False,
    )
    assert configuration.routes["r-2"].repeat is Repeat.SAFE
    assert configuration.routes["r-2"].pools == (PoolShare("t", 1),)
    engine = EngineProfile(slots=64, memory_tokens=511_815, tokens_per_event=5)
    assert configuration.pools == {
        "s": Pool("s", PoolKind.ENGINE, "m", max_connections=370, engine=engine),
        "t": Pool("t", PoolKind.SERVICE, max_connections=110),
    }
    digest = hashlib.sha256(b"k").hexdigest()
    account = Account("bank", key_hashes=(digest,), priority=1)
    assert configuration.accounts == {"bank": account}
    assert configuration.limits.body_bytes == 100


def test_a_truncated_or_mistyped_document_is_rejected() -> None:
    with pytest.raises(DocumentError):
        read_manifest(encode()[:-20])
    with pytest.raises(DocumentError):
        read_manifest(b"[]")


def route(**changes: Any) -> dict[str, Any]:
    """Return the second route with changed fields."""
    return DOCUMENT["routes"][1] | changes  # type: ignore[no-any-return]


@pytest.mark.parametrize(
    ("changes", "fault"),
    [
        ({"routes": [route(service="u")]}, "route r-2: no pool 'u'"),
        ({"routes": [route(timeoutMs=0)]}, "route r-2: time_limit must be above 0"),
        (
            {"routes": [route(), route(name="r-3")]},
            "route r-3: same host and prefix as r-2",
        ),
        (
            {"routes": [route(), route()]},
            "route r-2+: same host and prefix as r-2",
        ),
        (
            {"routes": [route(trafficSplit=[{"service": "t", "weight": 0}])]},
            "route r-2: the weights add up to 0",
        ),
        (
            {
                "tenants": [
                    {"name": "bank", "apiKeys": ["k"]},
                    {"name": "shop", "apiKeys": ["k"]},
                ]
            },
            "account shop: shares a key with bank",
        ),
    ],
)
def test_faults_are_described(changes: dict[str, Any], fault: str) -> None:
    assert read_manifest(encode(**changes)).faults() == (fault,)


@given(
    tenants=st.sampled_from(
        [None, [], [{"name": "a"}], [{"name": "a", "apiKeys": []}, {"name": "b"}]]
    )
)
def test_tenants_that_are_present_demand_keys_whatever_is_left_in_them(
    tenants: list[dict[str, Any]] | None,
) -> None:
    configuration = read_manifest(encode(tenants=tenants))
    assert configuration.demands_keys
    restored = msgspec.json.decode(
        msgspec.json.encode(configuration), type=Configuration
    )
    assert restored.demands_keys


def test_without_tenants_no_keys_are_demanded() -> None:
    document = {name: DOCUMENT[name] for name in ("version", "routes", "services")}
    assert not read_manifest(json.dumps(document).encode()).demands_keys


ABSENT = object()
MINIMAL: dict[str, Any] = {
    "version": 1,
    "routes": [
        {"name": "r", "host": "h", "pathPrefix": "/x/", "timeoutMs": 1, "service": "s"}
    ],
    "services": [{"name": "s", "engine": {"slots": 1, "kvCapacity": 1}}],
    "tenants": [{"name": "a"}],
    "limits": {},
}
SECTIONS: dict[str, tuple[type[msgspec.Struct], Callable[[Any], Any]]] = {
    "manifest": (manifest._Manifest, lambda document: document),
    "routes": (manifest._Route, lambda document: document["routes"][0]),
    "services": (manifest._Service, lambda document: document["services"][0]),
    "engine": (manifest._Engine, lambda document: document["services"][0]["engine"]),
    "models": (
        manifest._Model,
        lambda document: document["services"][0]["engine"].setdefault("models", [{}])[
            0
        ],
    ),
    "trafficSplit": (
        manifest._Split,
        lambda document: document["routes"][0].setdefault(
            "trafficSplit", [{"service": "s"}]
        )[0],
    ),
    "limits": (manifest._Limits, lambda document: document["limits"]),
    "tenants": (manifest._Tenant, lambda document: document["tenants"][0]),
}
"""Schema of each section, and where it is in `MINIMAL`."""
SAME_AS_ABSENT: dict[tuple[str, str], tuple[Any, ...]] = {
    ("manifest", "limits"): ({},),
    ("routes", "kind"): ("", "unsafe"),
    ("routes", "trafficSplit"): ([],),
    ("routes", "maxAttempts"): (0, 1),
    ("routes", "priority"): (0,),
    ("routes", "allowAnonymous"): (False,),
    ("routes", "resumable"): (False,),
    ("routes", "gapTargetMs"): (0,),
    ("routes", "allowedRegions"): ([],),
    ("services", "coldPerS"): (0,),
    ("services", "healthPath"): ("",),
    ("engine", "stride"): (0, 1),
    ("engine", "models"): ([],),
    ("engine", "moves"): (False,),
    ("engine", "kvTokenBytes"): (0,),
    ("engine", "linkMbps"): (0,),
    ("engine", "most"): (0,),
    ("limits", "tokensPerS"): (0,),
    ("tenants", "apiKeys"): ([],),
    ("tenants", "allowedRegions"): ([],),
    ("tenants", "priority"): (None,),
    ("routes", "service"): ("",),
    ("services", "engine"): (None,),
}
"""Empty and zero values that mean the same as a field that is absent."""
UNLIKE_ABSENT: dict[tuple[str, str], Any] = {
    ("manifest", "tenants"): [],
    ("routes", "targetLatencyMs"): 0,
    ("services", "maxConnections"): 0,
    ("models", "name"): "",
    ("trafficSplit", "weight"): 0,
    ("limits", "maxHeaderBytes"): 0,
    ("limits", "maxBodyBytes"): 0,
    ("limits", "headerTimeoutMs"): 0,
    ("limits", "idleTimeoutMs"): 0,
    ("tenants", "priority"): 0,
}
"""Empty and zero values that are kept as they are."""


def read_with(fields: dict[tuple[str, str], Any]) -> Configuration:
    """Return the configuration of the minimal document with further fields."""
    source = copy.deepcopy(MINIMAL)
    rows = {section: SECTIONS[section][1](source) for section, _ in fields}
    for (section, name), value in fields.items():
        rows[section][name] = value
        if value is ABSENT:
            del rows[section][name]
    configuration = read_manifest(json.dumps(source).encode())
    return msgspec.structs.replace(configuration, document=b"")


def test_it_is_stated_of_each_optional_field_what_an_empty_value_means() -> None:
    optional = {
        (section, field.encode_name)
        for section, (schema, _) in SECTIONS.items()
        for field in msgspec.structs.fields(schema)
        if not field.required
    }
    assert set(SAME_AS_ABSENT) | set(UNLIKE_ABSENT) == optional


@given(
    st.fixed_dictionaries(
        {},
        optional={
            field: st.sampled_from(values) for field, values in SAME_AS_ABSENT.items()
        },
    )
)
def test_empty_fields_mean_the_same_as_absent_ones(
    fields: dict[tuple[str, str], Any],
) -> None:
    assert read_with(fields) == read_with(dict.fromkeys(fields, ABSENT))


@pytest.mark.parametrize("field", UNLIKE_ABSENT)
def test_an_empty_or_zero_field_is_kept(field: tuple[str, str]) -> None:
    assert read_with({field: UNLIKE_ABSENT[field]}) != read_with({field: ABSENT})


def test_a_health_path_adds_no_lines_to_requests() -> None:
    services = [{"name": "a", "healthPath": "ok\r\nX-Forged: 1"}]
    paths = read_manifest(encode(services=services)).health_paths
    assert paths == {"a": "/ok%0D%0AX-Forged:%201"}


def test_a_tenant_that_is_listed_twice_has_all_keys_listed() -> None:
    tenants = [{"name": "bank", "apiKeys": keys} for keys in (["k", "m"], ["n", "k"])]
    configuration = read_manifest(encode(tenants=tenants))
    assert configuration.faults() == ()
    digests = tuple(hashlib.sha256(key).hexdigest() for key in (b"k", b"m", b"n"))
    assert configuration.accounts["bank"].key_hashes == digests


@pytest.mark.parametrize("change", [{"priority": 2}, {"allowedRegions": ["north"]}])
def test_a_tenant_that_is_listed_twice_with_different_settings_is_rejected(
    change: dict[str, Any],
) -> None:
    tenant = {"name": "bank", "apiKeys": ["k"], "priority": 1}
    with pytest.raises(DocumentError, match="bank"):
        read_manifest(encode(tenants=[tenant, tenant | change]))


@pytest.mark.parametrize("depth", [2_000, 200_000])
@pytest.mark.parametrize(("opening", "closing"), [(b"[", b"]"), (b'{"x":', b"}")])
def test_a_deeply_nested_document_is_rejected(
    depth: int, opening: bytes, closing: bytes
) -> None:
    nested = opening * depth + b"1" + closing * depth
    for document in (nested, encode()[:-1] + b', "x": ' + nested + b"}"):
        with pytest.raises(DocumentError):
            read_manifest(document)
