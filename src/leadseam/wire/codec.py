"""Frames on a link: a CBOR array of one or more messages."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import cbor2
import msgspec

from leadseam.errors import WireError
from leadseam.wire.messages import AnyMessage

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

_FRAME_TYPE = tuple[AnyMessage, ...]


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


def encode_frame(messages: Iterable[AnyMessage]) -> bytes:
    """Encode messages into one frame."""
    return encode(tuple(messages))


def decode_frame(data: bytes) -> tuple[AnyMessage, ...]:
    """Decode one frame.

    Raises:
        WireError: If any message of the frame is malformed.
    """
    return decode(data, _FRAME_TYPE)
