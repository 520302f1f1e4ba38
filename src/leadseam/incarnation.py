"""Incarnations: one run of an upstream, from one start to the next."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

NO_START = 0
"""`start` of an upstream that reports no start; its id is new at each start."""


class Incarnation(NamedTuple):
    """One start of an upstream; state of another incarnation does not apply to it.

    It is a named tuple because it is the key of some ten lookups for each request that
    is placed, and a frozen data class hashes its fields in Python each time.

    Args:
        instance: Id of the upstream, which it keeps when it starts again.
        start: Time of the start in Unix milliseconds, by the upstream's own clock. It
            orders the starts of one id and is compared with nothing else; `NO_START` if
            the upstream reports none.
    """

    instance: str
    start: int = NO_START

    def __str__(self) -> str:
        """Return the form used in log lines."""
        return f"{self.instance}/{self.start}" if self.start else self.instance

    def replaces(self, other: Incarnation) -> bool:
        """Return whether this is a later start of the same upstream."""
        return self.instance == other.instance and self.start > other.start

    def digest(self) -> int:
        """Return a 64-bit hash that identifies it in load rows.

        The hash takes 9 bytes of a row; the id alone takes 13, with the start 23.
        """
        return xxhash.xxh3_64_intdigest(f"{self.instance}/{self.start}".encode())
