"""Versions in service, as an entry knows them."""

from __future__ import annotations

import msgspec

from leadseam.membership.versions import VersionTable
from leadseam.membership.view import UpstreamView
from leadseam.wire.versions import VersionRow
from tests.routing.samples import make_upstream

LIFETIME = 1_000
V1 = msgspec.structs.replace(make_upstream(1), version="v1")
V2 = msgspec.structs.replace(make_upstream(2), version="v2")


def test_a_version_counts_until_streams_that_it_began_have_ended() -> None:
    view = UpstreamView()
    view.update("a", [V1, V2], 0)
    assert view.versions.is_mixed("p")
    view.left([V1.incarnation])
    view.sweep(LIFETIME)
    assert not view.versions.expire(LIFETIME, LIFETIME)
    assert view.versions.versions("p") == {"v1", "v2"}
    assert view.versions.expire(LIFETIME + 1, LIFETIME)
    assert view.versions.versions("p") == {"v2"}


def test_a_stream_is_restricted_to_the_upstreams_of_its_version() -> None:
    view = UpstreamView({"d": "east"})
    view.update("a", [V1, V2], 0)
    assert view.pool("p") == [V1, V2]
    assert view.pool("p", None, "v2") == [V2]
    assert view.pool("p", frozenset(["east"]), "v2") == [V2]
    assert view.pool("p", frozenset(["west"]), "v2") == []


def test_a_replica_of_an_earlier_version_erases_no_version() -> None:
    view = UpstreamView()
    unknown = make_upstream(1)
    view.update("a", [unknown], 0)
    view.update("b", [V1], 0)
    assert view.pool("p") == [V1]
    assert not view.versions.is_mixed("p")
    view.update("a", [msgspec.structs.replace(unknown, sequence=2)], 0)
    assert view.pool("p", None, "v1") == [msgspec.structs.replace(V1, sequence=2)]


def test_the_age_of_a_version_is_kept_from_table_to_table() -> None:
    first, second = VersionTable(), VersionTable()
    first.see([V1], 0)
    second.merge(first.rows(900), 5_000)
    assert second.rows(5_000) == (VersionRow("p", "v1", 900),)
    assert second.expire(5_101, LIFETIME)
    assert second.versions("p") == frozenset()


def test_a_version_that_is_younger_than_now_expires_like_the_others() -> None:
    table = VersionTable()
    rows = [VersionRow("p", f"v{age}", age) for age in (-1, -(2**63), 0, 2**64)]
    table.merge(rows, 0)
    assert table.expire(LIFETIME, LIFETIME)
    assert table.versions("p") == {"v-1", f"v{-(2**63)}", "v0"}
    assert table.expire(LIFETIME + 1, LIFETIME)
    assert table.versions("p") == frozenset()
