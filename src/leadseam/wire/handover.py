"""Messages between two entries about connections that one hands over to the other."""

from __future__ import annotations

from enum import IntEnum

from leadseam.wire.record import Message, Record


class ConnectionEvent(IntEnum):
    """What happened to a connection, behind the bytes of the same row."""

    NONE = 0
    OPENED = 1
    """The connection is handed over; the bytes begin its first request."""
    CLOSED = 2
    """The caller has left, or the response is complete."""
    ABORTED = 3
    """The response is broken off, which its missing last chunk shows."""
    RESET = 4
    """The response is broken off, which only a reset shows."""
    REJECTED = 5
    """The connection is not taken over, and nothing of it was read."""


class ConnectionRow(Record, frozen=True, array_like=True):
    """Bytes and an event of one connection.

    Args:
        number: Number of the connection on this link.
        data: Bytes from the caller, or of the response.
        event: A number of `ConnectionEvent`.
        credit: Bytes of the response that were passed on since the last credit.
    """

    number: int
    data: bytes = b""
    event: int = ConnectionEvent.NONE
    credit: int = 0


class ConnectionRows(Message, frozen=True, array_like=True, tag=64):
    """What happened to connections since the last message, in order."""

    rows: tuple[ConnectionRow, ...]
