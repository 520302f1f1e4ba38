"""Heartbeats and leave calls of upstreams, valid and invalid."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.incarnation import Incarnation
from leadseam.platform.heartbeat import (
    MAX_COLD_TIME,
    MAX_HEARTBEAT_BYTES,
    MAX_INTEGER,
    MAX_SLOTS,
    MAX_START,
    Fault,
    UnknownWriterError,
    read_heartbeat,
    read_instance,
    read_leaving,
)
from leadseam.wire.feed import Registration

VALID: dict[str, Any] = {
    "service": "plain",
    "address": "10.0.0.1:8080",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0.5,
    "stage": "unified",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "born": 1_764_720_000_000,
    "sequence": 7,
}


def fault_of(document: bytes, instance: str = "i-1") -> Fault | None:
    """Return why a heartbeat is rejected, or None if it is valid."""
    try:
        read_heartbeat(instance, document)
    except UnknownWriterError as exc:
        return exc.fault
    return None


def encode_heartbeat(**fields: object) -> bytes:
    """Return a valid heartbeat with some fields replaced."""
    return json.dumps(VALID | fields).encode()


def test_a_heartbeat_is_read() -> None:
    assert read_heartbeat("i-1", encode_heartbeat()) == Registration(
        incarnation=Incarnation("i-1", 1_764_720_000_000),
        pool="plain",
        ip="10.0.0.1",
        port=8080,
        failure_domain="a",
        slots=4,
        ready=True,
        sequence=7,
        cold_remaining=0,
        version="v1",
    )
    assert not read_heartbeat("i-1", encode_heartbeat(state="draining")).ready
    # Unknown fields are ignored.

    assert fault_of(encode_heartbeat(colour="red")) is None


def test_the_start_time_is_optional() -> None:
    fields = {key: value for key, value in VALID.items() if key != "born"}
    row = read_heartbeat("i-1", json.dumps(fields).encode())
    assert row.incarnation == Incarnation("i-1")


@pytest.mark.parametrize(
    "field", [key for key in VALID if key not in ("born", "stage", "models")]
)
def test_every_other_field_is_required(field: str) -> None:
    fields = {key: value for key, value in VALID.items() if key != field}
    assert fault_of(json.dumps(fields).encode()) is Fault.WRONG_FIELD


@pytest.mark.parametrize(
    "born", [None, "1764720000000", 1.5, 1e12, True, -1, 0, 10**30, MAX_START + 1, []]
)
def test_a_start_time_is_a_positive_integer(born: object) -> None:
    assert fault_of(encode_heartbeat(born=born)) is Fault.WRONG_FIELD
    leaving = json.dumps({"born": born}).encode()
    with pytest.raises(UnknownWriterError):
        read_leaving(leaving)


@pytest.mark.parametrize(
    ("document", "fault"),
    [
        (b"", Fault.UNREADABLE),
        (b"\xff\xfe{}", Fault.UNREADABLE),
        (json.dumps(VALID).encode("utf-16"), Fault.UNREADABLE),
        (b'{"born":1,' + json.dumps(VALID).encode()[1:], Fault.UNREADABLE),
        (b"[" * MAX_HEARTBEAT_BYTES, Fault.UNREADABLE),
        (b'{"slots":NaN}', Fault.UNREADABLE),
        (b"[]", Fault.WRONG_FIELD),
        (b"null", Fault.WRONG_FIELD),
        (b" " * (MAX_HEARTBEAT_BYTES + 1), Fault.TOO_LARGE),
        (encode_heartbeat(state="resting"), Fault.WRONG_STATE),
        (encode_heartbeat(slots=0), Fault.WRONG_FIELD),
        (encode_heartbeat(slots="4"), Fault.WRONG_FIELD),
        (encode_heartbeat(sequence=-1), Fault.WRONG_FIELD),
        (encode_heartbeat(service=""), Fault.WRONG_FIELD),
        (encode_heartbeat(service=7), Fault.WRONG_FIELD),
        (encode_heartbeat(models="m"), Fault.WRONG_FIELD),
        (encode_heartbeat(address="10.0.0.1"), Fault.WRONG_ADDRESS),
        (encode_heartbeat(address="server.example:80"), Fault.WRONG_ADDRESS),
        (encode_heartbeat(address="0.0.0.0:80"), Fault.WRONG_ADDRESS),
        (encode_heartbeat(address="224.0.0.1:80"), Fault.WRONG_ADDRESS),
        (encode_heartbeat(address="10.0.0.1:0"), Fault.WRONG_ADDRESS),
        (encode_heartbeat(address="10.0.0.1:70000"), Fault.WRONG_ADDRESS),
        (encode_heartbeat(address="10.0.0.1:8 0"), Fault.WRONG_ADDRESS),
    ],
)
def test_invalid_heartbeats_are_classified_by_fault(
    document: bytes, fault: Fault
) -> None:
    assert fault_of(document) is fault


WRONG_NUMBERS = [
    "-1",
    str(2**53 + 1),
    str(2**63 - 1),
    str(2**64),
    "1" + "0" * 400,
    "1e400",
    "1.5",
    "true",
    '"7"',
    '"1_000"',
    '"٣"',
    '""',
    "null",
    "[]",
]


@pytest.mark.parametrize("field", ["sequence", "slots", "coldRemainingMs", "born"])
@pytest.mark.parametrize("value", WRONG_NUMBERS)
def test_a_number_that_is_none_or_out_of_bounds_is_rejected(
    field: str, value: str
) -> None:
    document = encode_heartbeat(**{field: "@"}).replace(b'"@"', value.encode())
    is_fraction = field == "coldRemainingMs" and value == "1.5"
    assert fault_of(document) is (None if is_fraction else Fault.WRONG_FIELD)


@pytest.mark.parametrize("field", ["sequence", "slots", "coldRemainingMs", "born"])
@pytest.mark.parametrize("value", ["NaN", "Infinity", "1" + "0" * 5_000, "1_000", "٣"])
def test_a_number_that_json_does_not_have_makes_a_document_unreadable(
    field: str, value: str
) -> None:
    document = encode_heartbeat(**{field: "@"}).replace(b'"@"', value.encode())
    assert fault_of(document) is Fault.UNREADABLE


@pytest.mark.parametrize(
    ("field", "largest"),
    [
        ("sequence", MAX_INTEGER),
        ("slots", MAX_SLOTS),
        ("coldRemainingMs", MAX_COLD_TIME),
        ("born", MAX_START),
    ],
)
def test_the_largest_number_of_a_field_is_read(field: str, largest: int) -> None:
    assert fault_of(encode_heartbeat(**{field: largest})) is None
    assert fault_of(encode_heartbeat(**{field: largest + 1})) is Fault.WRONG_FIELD


@pytest.mark.parametrize("instance", ["", " ", "a b", "a\r\nb", "ü", "-a", "a" * 129])
def test_an_id_is_safe_in_headers_and_log_lines(instance: str) -> None:
    with pytest.raises(UnknownWriterError):
        read_instance(instance)
    assert fault_of(encode_heartbeat(), instance) is Fault.WRONG_ID


def test_a_leave_call_may_name_the_start_that_leaves() -> None:
    assert read_leaving(b"") is None
    assert read_leaving(b"{}") is None
    assert read_leaving(b'{"born":5}') == 5
    for document in (b"[]", b"leave", b"\xff", b'{"born":1,"born":2}'):
        with pytest.raises(UnknownWriterError):
            read_leaving(document)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=20),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)


@settings(derandomize=True, database=None, max_examples=1_000, deadline=None)
@given(
    fields=st.dictionaries(st.sampled_from(sorted(VALID)), JSON, max_size=4),
    dropped=st.sets(st.sampled_from(sorted(VALID)), max_size=2),
    cut=st.integers(0, 400),
    noise=st.binary(max_size=8),
)
def test_no_document_ends_a_process(
    fields: dict[str, Any], dropped: set[str], cut: int, noise: bytes
) -> None:
    kept = {key: value for key, value in (VALID | fields).items() if key not in dropped}
    whole = json.dumps(kept).encode()
    for document in (whole, whole[:cut] + noise + whole[cut:], whole[:cut]):
        fault = fault_of(document)
        if fault is None:
            row = read_heartbeat("i-1", document)
            assert row.incarnation.start >= 0
            assert 0 < row.port < 65_536
            assert row.slots >= 1
        try:
            assert (read_leaving(document) or 1) >= 1
        except UnknownWriterError as exc:
            assert exc.fault in Fault
