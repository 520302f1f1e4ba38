"""Decoding and validation of upstreams' heartbeats and leave calls.

The sender is not authenticated: any process that reaches a control box may send a
document that looks like a heartbeat.
"""

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
"""Maximum size of a document in bytes; those of upstreams have some 300 bytes."""
MAX_INTEGER = 2**53
"""Largest integer that every JSON decoder represents exactly."""
MAX_START = 253_402_300_799_999
"""Last millisecond of the year 9999; a later start time is invalid."""
MAX_SLOTS = 1_000_000
MAX_COLD_TIME = 86_400_000
"""Longest cold time in milliseconds: a day."""
MAX_TEXT = 256
"""Maximum number of characters of a name or an address."""
_INSTANCE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:-]{0,127}", re.ASCII)
"""Ids that can be sent in a header and logged without escaping."""

Name = Annotated[str, Meta(min_length=1, max_length=MAX_TEXT)]
StartTime = Annotated[int, Meta(ge=1, le=MAX_START)]
SequenceNumber = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
T = TypeVar("T")


class Fault(StrEnum):
    """Why a document was rejected; the values are labels of a counter."""

    TOO_LARGE = "too_large"
    UNREADABLE = "unreadable"
    WRONG_FIELD = "wrong_field"
    WRONG_STATE = "wrong_state"
    WRONG_ADDRESS = "wrong_address"
    WRONG_ID = "wrong_id"
    UNKNOWN_POOL = "unknown_pool"


class UnknownWriterError(DocumentError):
    """A document is not a valid message of an upstream.

    Args:
        fault: Why it was rejected.
        message: Description in one line.
    """

    code = "unknown_writer"

    def __init__(self, fault: Fault, message: str) -> None:
        super().__init__(message)
        self.fault = fault


class _HeartbeatBody(msgspec.Struct, frozen=True, rename="camel"):
    """Body of a heartbeat.

    `address` is where the server listens; `sequence` grows with each heartbeat.
    """

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
    # Start time; absent if a server gets a new id at each start.
    born: StartTime | msgspec.UnsetType = msgspec.UNSET


class _LeaveBody(msgspec.Struct, frozen=True, rename="camel"):
    """Body of a leave call; all fields are optional."""

    born: StartTime | msgspec.UnsetType = msgspec.UNSET


def read_instance(instance: str) -> str:
    """Return an instance id after checking its syntax.

    Raises:
        UnknownWriterError: If it is not a valid id.
    """
    if not _INSTANCE.fullmatch(instance):
        raise UnknownWriterError(Fault.WRONG_ID, "not the id of an upstream")
    return instance


def read_heartbeat(instance: str, document: bytes) -> Registration:
    """Decode a heartbeat into a registration.

    Raises:
        UnknownWriterError: If the id or the document is invalid.
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
        version=heartbeat.version,
    )


def read_leaving(document: bytes) -> int | None:
    """Return the start time in the body of a leave call, or None if there is none.

    Raises:
        UnknownWriterError: If the body is invalid.
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
