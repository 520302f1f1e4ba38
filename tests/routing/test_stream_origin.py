"""Streams that a process remembers, and their digests."""

from __future__ import annotations

import pytest

from leadseam.routing import stream_origin
from leadseam.routing.stream_origin import (
    AMBIGUOUS,
    StreamOrigin,
    StreamTable,
    pack_digests,
    stream_digest,
    unpack_digests,
)

V1 = StreamOrigin("p", "v1")
V2 = StreamOrigin("p", "v2")
LIFETIME = 1_000


def test_a_stream_begun_twice_at_two_versions_under_one_id_is_ambiguous() -> None:
    table = StreamTable()
    table.add(1, V1)
    table.add(1, V1)
    assert table.find(1) == V1
    table.add(1, V2)
    assert table.find(1) is AMBIGUOUS
    table.rotate(LIFETIME, LIFETIME)
    table.add(1, V2)
    assert table.find(1) is AMBIGUOUS


def test_a_stream_is_kept_for_its_lifetime_and_at_most_twice_as_long() -> None:
    table = StreamTable()
    table.rotate(LIFETIME, LIFETIME)
    table.add(1, V1)
    table.rotate(2 * LIFETIME - 1, LIFETIME)
    table.rotate(2 * LIFETIME, LIFETIME)
    assert table.find(1) == V1
    table.rotate(3 * LIFETIME, LIFETIME)
    assert table.find(1) is None


def test_the_number_of_streams_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(stream_origin, "MAX_STREAMS", 2)
    table = StreamTable()
    for stream in range(5):
        table.add(stream, V1)
    assert len(table) == 2
    table.rotate(LIFETIME, LIFETIME)
    for stream in range(5, 10):
        table.add(stream, V1)
    assert len(table) == 4


def test_an_id_names_no_stream_of_another_account() -> None:
    digests = {stream_digest(account, "r-1") for account in (None, "bank", "shop")}
    assert len(digests) == 3


def test_digests_are_sent_in_five_bytes() -> None:
    digests = [0, 1, 256**5 - 1, stream_digest("bank", "r-1")]
    data = pack_digests(digests)
    assert len(data) == 20
    assert list(unpack_digests(data)) == digests
    assert list(unpack_digests(data + b"torn")) == digests
