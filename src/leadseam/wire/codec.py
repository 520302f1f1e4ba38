"""Frames on a link: a CBOR array of one or more messages."""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, TypeVar, get_args

import cbor2
import msgspec

from leadseam.errors import WireError
from leadseam.wire.messages import AnyMessage

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

_BY_TAG: dict[int, type[AnyMessage]] = {
    class_.__struct_config__.tag: class_ for class_ in get_args(AnyMessage)
}
_DECODE_ERRORS = (
    cbor2.CBORDecodeError,
    msgspec.ValidationError,
    ValueError,
    TypeError,
    KeyError,
    IndexError,
)


def encode(value: Any) -> bytes:
    """Encode a record, or a container of records, as CBOR."""
    return cbor2.dumps(msgspec.to_builtins(value, builtin_types=(bytes,)))


def decode(data: bytes, type_: type[T]) -> T:
    """Decode CBOR into a typed value.

    Args:
        data: Bytes made by `encode`.
        type_: Type to validate against.

    Returns:
        A value of that type.

    Raises:
        WireError: If the bytes are not CBOR or not of that type.
    """
    try:
        return msgspec.convert(cbor2.loads(data), type_)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError) as exc:
        raise WireError(f"cannot decode: {exc}") from exc


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """A message that goes to many peers, encoded once for all of them.

    Args:
        message: The message.
        data: Its encoding.
    """

    message: AnyMessage
    data: bytes


def encode_message(message: AnyMessage) -> EncodedMessage:
    """Encode a message that goes to many peers."""
    return EncodedMessage(message, encode(message))


def encode_frame(messages: Iterable[AnyMessage | EncodedMessage]) -> bytes:
    """Encode messages into one frame."""
    messages = tuple(messages)
    if not any(isinstance(one, EncodedMessage) for one in messages):
        return encode(messages)
    items = [
        one.data if isinstance(one, EncodedMessage) else encode(one) for one in messages
    ]
    return b"".join([_array_head(len(items)), *items])


def _array_head(length: int) -> bytes:
    """Return the head of a CBOR array of a length."""
    if length < 24:
        return bytes([0x80 | length])
    return b"\x99" + struct.pack(">H", length)


def decode_frame(data: bytes) -> tuple[AnyMessage, ...]:
    """Decode one frame.

    Raises:
        WireError: If any message of the frame is malformed.
    """
    try:
        return tuple(map(_message, cbor2.loads(data)))
    except _DECODE_ERRORS as exc:
        raise WireError(f"cannot decode: {exc!r}") from exc


def _message(fields: list[Any]) -> AnyMessage:
    # Converting to the union itself would build its type anew on each call.
    message: AnyMessage = msgspec.convert(fields, _BY_TAG[fields[0]])
    return message
