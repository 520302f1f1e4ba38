"""Frames: decoding inverts encoding, and malformed data raises `WireError`."""

from __future__ import annotations

from typing import get_args

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from leadseam.errors import WireError
from leadseam.wire.codec import decode, decode_frame, encode_frame
from leadseam.wire.consensus import Append, LogEntry
from leadseam.wire.dispatch import Backlog, BacklogRow, Chunk, Dispatch
from leadseam.wire.messages import AnyMessage
from leadseam.wire.versions import VersionRow


def test_decoding_inverts_encoding() -> None:
    messages = (
        Backlog((BacklogRow("a", 1, 2),)),
        Chunk(1, 2, b"\x00\xff"),
        Dispatch(1, 2, "a", "POST", "/", (("k", "v"),), b"x", True, 1, 5, 9),
        Append("a#1", 1, 2, 1, (LogEntry(1, 3, 1, b"c"),), 2, 7, -1),
    )
    assert decode_frame(encode_frame(messages)) == messages


def test_tags_are_unique() -> None:
    tags = [class_.__struct_config__.tag for class_ in get_args(AnyMessage)]
    assert len(set(tags)) == len(tags)


@given(data=st.binary(max_size=200))
def test_garbage_is_an_error(data: bytes) -> None:
    with pytest.raises(WireError):
        decode_frame(b"\x81" + data)


@given(
    value=st.recursive(
        st.none() | st.integers() | st.text() | st.binary(),
        lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    )
)
def test_other_values_are_an_error(value: object) -> None:
    try:
        decode_frame(cbor2.dumps(value))
    except WireError:
        return
    assert value in ([], {}, "", b"")


@pytest.mark.parametrize("age", [0, -1, 2**53, 2**63 - 1, 2**64, 10**400])
def test_whole_numbers_of_any_size_are_decoded(age: int) -> None:
    assert decode(cbor2.dumps(["p", "v", age]), VersionRow) == VersionRow("p", "v", age)


@pytest.mark.parametrize(
    "age", [1.0, 1.5, float("nan"), float("inf"), True, None, "7", "", b"7", []]
)
def test_what_is_no_whole_number_is_an_error(age: object) -> None:
    with pytest.raises(WireError):
        decode(cbor2.dumps(["p", "v", age]), VersionRow)
