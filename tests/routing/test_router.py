"""Matching of routes and account keys, and the choice of a pool."""

from __future__ import annotations

import hashlib
import random

import pytest

from leadseam.control.configuration import Account, Configuration
from leadseam.control.routes import PoolShare, Route
from leadseam.routing.router import Router, choose_pool
from tests.routing.samples import make_route


def test_the_longest_prefix_of_the_host_wins() -> None:
    routes = [
        make_route("short", "/a/", "p"),
        make_route("long", "/a/b/", "p"),
        make_route("other", "/a/", "p", host="b.example"),
    ]
    router = Router(Configuration(routes={route.name: route for route in routes}))
    matched = [
        router.match("a.example", "/a/b/c"),
        router.match("A.example", "/a/x"),
        router.match("b.example", "/a/b/c"),
        router.match("a.example", "/b/"),
        router.match("c.example", "/a/"),
    ]
    names = [route.name if route is not None else None for route in matched]
    assert names == ["long", "short", "other", None, None]


def test_a_key_belongs_to_the_account_that_holds_its_hash() -> None:
    digest = hashlib.sha256(b"secret").hexdigest()
    account = Account("bank", key_hashes=(digest,))
    router = Router(Configuration(accounts={"bank": account}))
    assert router.uses_account_keys
    assert router.account("secret") == account
    assert router.account("Secret") is None
    assert not Router(Configuration()).uses_account_keys


@pytest.mark.parametrize(
    ("demanded", "accounts", "used"),
    [(True, (), True), (None, ("bank",), True), (None, (), False), (False, (), False)],
)
def test_keys_are_demanded_though_no_account_has_one_left(
    demanded: bool | None, accounts: tuple[str, ...], used: bool
) -> None:
    rows = {name: Account(name) for name in accounts}
    router = Router(Configuration(accounts=rows, keys_demanded=demanded))
    assert router.uses_account_keys is used


def test_a_pool_without_weight_gets_nothing() -> None:
    shares = (PoolShare("a", 3), PoolShare("b", 0), PoolShare("c", 1))
    route = Route(name="r", host="h", prefix="/", pools=shares)
    rng = random.Random(7)
    drawn = [choose_pool(route, rng) for _ in range(400)]
    assert drawn.count("b") == 0
    assert 250 < drawn.count("a") < 350
