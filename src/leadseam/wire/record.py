"""Bases of what the processes of a fleet send each other.

Each is a frozen record encoded as a CBOR array. Times are in milliseconds; service is
in the units of `leadseam.fairness.service`.
"""

from __future__ import annotations

import msgspec


class Record(msgspec.Struct, frozen=True, array_like=True):
    """Base of immutable rows; encoded as an array without a tag."""


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base of immutable messages; each subclass sets its own tag."""
