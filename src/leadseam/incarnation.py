"""One life of an upstream, from a start to the next."""

from __future__ import annotations

from typing import NamedTuple

import xxhash

NO_START = 0
"""`start` of an upstream that does not state its start: its id is new at each."""


class Incarnation(NamedTuple):
    """A start of an upstream; what was learned of another start is not true of it.

    A named tuple, as it is the key of what placing looks up some ten times a request:
    a frozen data class hashes its fields in Python each time.

    Args:
        instance: Its id, which it keeps when it starts again.
        start: Unix milliseconds of the start by its own clock, which order the starts
            of one id and are compared with nothing else; `NO_START` if it states none.
    """

    instance: str
    start: int = NO_START

    def __str__(self) -> str:
        """Return how log lines name it."""
        return f"{self.instance}/{self.start}" if self.start else self.instance

    def replaces(self, other: Incarnation) -> bool:
        """Tell whether this is a later start of the same upstream."""
        return self.instance == other.instance and self.start > other.start

    def digest(self) -> int:
        """Return a number of 64 bits that stands for it in rows of loads.

        It takes 9 bytes of a row; the id alone takes 13, with the start 23.
        """
        return xxhash.xxh3_64_intdigest(f"{self.instance}/{self.start}".encode())
