"""What upstreams say of themselves, decoded; anybody may write what looks like it."""

from __future__ import annotations

import ipaddress
import json
import re
from enum import StrEnum
from typing import TYPE_CHECKING, Annotated, Any, NoReturn, TypeVar

import msgspec
from msgspec import Meta

from leadseam.errors import DocumentError
from leadseam.incarnation import NO_START, Incarnation
from leadseam.platform.names import DRAINING, READY
from leadseam.platform.settings import read_address
from leadseam.wire.feed import Registration

if TYPE_CHECKING:
    from leadseam.settings.models import Endpoint

MAX_HEARTBEAT_BYTES = 65_536
"""Largest document that is read: those of upstreams have some 300 bytes."""
MAX_INTEGER = 2**53
"""Integers up to here are the same in every JSON decoder."""
MAX_START = 253_402_300_799_999
"""Last millisecond of the year 9999; a start beyond it is none."""
MAX_SLOTS = 1_000_000
MAX_COLD_TIME = 86_400_000
"""Longest cold time in milliseconds: a day."""
MAX_TEXT = 256
"""Characters of a name or an address."""
_INSTANCE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}", re.ASCII)
"""Ids that may stand in a header and in a log line as they are."""

Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT)]
StartTime = Annotated[int, Meta(ge=1, le=MAX_START)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
T = TypeVar("T")


class Fault(StrEnum):
    """Why a document names no upstream; labels of a counter."""

    TOO_LARGE = "too_large"
    UNREADABLE = "unreadable"
    WRONG_FIELD = "wrong_field"
    WRONG_STATE = "wrong_state"
    WRONG_ADDRESS = "wrong_address"
    WRONG_ID = "wrong_id"
    UNKNOWN_POOL = "unknown_pool"


class UnknownWriterError(DocumentError):
    """A document that no upstream has written, or none that can be used.

    Args:
        fault: Why.
        message: One line for a person.
    """

    code = "unknown_writer"

    def __init__(self, fault: Fault, message: str) -> None:
        super().__init__(message)
        self.fault = fault


class _HeartbeatBody(msgspec.Struct, frozen=True, rename="camel"):
    """A heartbeat; `address` is the server's own, `sequence` grows with each."""

    service: Name
    address: Name
    zone: Annotated[str, Meta(max_length=MAX_TEXT)]
    version: Annotated[str, Meta(max_length=MAX_TEXT)]
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: str
    cold_remaining_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_TIME)]
    sequence: SequenceNumber
    stage: Annotated[str, Meta(max_length=MAX_TEXT)] = ""
    models: list[dict[str, Any]] = []
    # Absent where every start of a server has an id of its own.
    born: StartTime | msgspec.UnsetType = msgspec.UNSET


class _LeaveBody(msgspec.Struct, frozen=True, rename="camel"):
    """A word of leaving; it may be empty."""

    born: StartTime | msgspec.UnsetType = msgspec.UNSET


def read_instance(instance: str) -> str:
    """Return an id if it has the shape of one.

    Raises:
        UnknownWriterError: If it has not.
    """
    if not _INSTANCE.fullmatch(instance):
        raise UnknownWriterError(Fault.WRONG_ID, "not the id of an upstream")
    return instance


def read_heartbeat(instance: str, document: bytes) -> Registration:
    """Decode a heartbeat.

    Raises:
        UnknownWriterError: If it names no upstream.
    """
    heartbeat = _decode(document, _HeartbeatBody)
    if heartbeat.state not in (READY, DRAINING):
        raise UnknownWriterError(Fault.WRONG_STATE, "no state of an upstream")
    address = _read_address(heartbeat.address)
    return Registration(
        incarnation=Incarnation(read_instance(instance), _start_time(heartbeat.born)),
        pool=heartbeat.service,
        ip=address.ip,
        port=address.port,
        failure_domain=heartbeat.zone,
        slots=heartbeat.slots,
        ready=heartbeat.state == READY,
        sequence=heartbeat.sequence,
        cold_remaining=round(heartbeat.cold_remaining_ms),
    )


def read_leaving(document: bytes) -> int | None:
    """Return the start that a word of leaving is of, or None if it states none.

    Raises:
        UnknownWriterError: If it cannot be read.
    """
    if not document.strip():
        return None
    return _start_time(_decode(document, _LeaveBody).born) or None


def _start_time(born: int | msgspec.UnsetType) -> int:
    return NO_START if isinstance(born, msgspec.UnsetType) else born


def _decode(document: bytes, type_: type[T]) -> T:
    if len(document) > MAX_HEARTBEAT_BYTES:
        raise UnknownWriterError(Fault.TOO_LARGE, "more bytes than an upstream sends")
    try:
        fields = json.loads(
            document.decode(),
            object_pairs_hook=_reject_duplicate_keys,
            parse_constant=_reject_constant,
        )
    except (ValueError, RecursionError) as exc:
        raise UnknownWriterError(Fault.UNREADABLE, "not a JSON document") from exc
    try:
        return msgspec.convert(fields, type_)
    except msgspec.ValidationError as exc:
        raise UnknownWriterError(Fault.WRONG_FIELD, str(exc)) from exc


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    fields = dict(pairs)
    if len(fields) != len(pairs):
        raise ValueError("a key stands twice")
    return fields


def _reject_constant(constant: str) -> NoReturn:
    raise ValueError(f"{constant} is no number")


def _read_address(text: str) -> Endpoint:
    try:
        address = read_address(text)
        ip = ipaddress.ip_address(address.ip)
    except ValueError as exc:
        raise UnknownWriterError(Fault.WRONG_ADDRESS, "not IP:PORT") from exc
    if ip.is_unspecified or ip.is_multicast or not 0 < address.port < 65_536:
        raise UnknownWriterError(Fault.WRONG_ADDRESS, "no address of one server")
    return address
