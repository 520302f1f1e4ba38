"""Base classes of the messages between processes of a fleet, and of their rows.

Each is a frozen struct, encoded as a CBOR array. Times are in milliseconds, service is
in the units of `leadseam.fairness.service`.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base class of rows in messages, encoded as an array without a tag."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of messages, encoded as an array; each subclass sets its own tag."""
