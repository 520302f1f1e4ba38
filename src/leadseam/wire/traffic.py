"""Bytes on inner links, callers' payload told apart from everything else."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from leadseam.wire.dispatch import Chunk, Dispatch

if TYPE_CHECKING:
    from collections.abc import Iterable

    from leadseam.wire.codec import EncodedMessage
    from leadseam.wire.messages import AnyMessage


@dataclass(slots=True)
class Traffic:
    """Counters of one process; control is all that is not a caller's payload.

    Args:
        control_sent: Bytes of frames sent, less payload.
        control_received: Bytes of frames received, less payload.
        payload_sent: Bytes of request and response bodies sent.
        payload_received: Bytes of request and response bodies received.
    """

    control_sent: int = 0
    control_received: int = 0
    payload_sent: int = 0
    payload_received: int = 0

    def sent(self, size: int, messages: Iterable[AnyMessage | EncodedMessage]) -> None:
        """Count a frame that was sent."""
        payload = payload_size(messages)
        self.payload_sent += payload
        self.control_sent += size - payload

    def received(self, size: int, messages: Iterable[AnyMessage]) -> None:
        """Count a frame that was received."""
        payload = payload_size(messages)
        self.payload_received += payload
        self.control_received += size - payload


def payload_size(messages: Iterable[AnyMessage | EncodedMessage]) -> int:
    """Return the bytes of callers' bodies in messages."""
    size = 0
    for message in messages:
        match message:
            case Chunk(data=data):
                size += len(data)
            case Dispatch(body=body):
                size += len(body)
            case _:
                pass
    return size
