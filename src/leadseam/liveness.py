"""Whether the process behind an address still runs. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

MISDIRECTED = 421
"""HTTP status of a process that is not the one that a request is meant for."""


class Liveness(StrEnum):
    """Whether a process still runs.

    `RUNS`: it has answered, or keeps a connection open. `GONE`: its address refuses
    connections, or belongs to another process. `UNKNOWN`: its address is unreachable.
    """

    RUNS = "runs"
    GONE = "gone"
    UNKNOWN = "unknown"


class Identity(StrEnum):
    """Which process an answer comes from: the one asked for, another, or not stated."""

    SAME = "same"
    OTHER = "other"
    UNSTATED = "unstated"


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """A request that every running process answers, whatever the status.

    Args:
        target: Path of the request; empty if the process has none.
        headers: Headers in addition to `Host`.
        instance_header: Header of an answer that names the process, in lower case;
            empty if answers don't name it.
        instance: Name of the process.
        is_unique: Whether the name changes when the process starts again.
    """

    target: str
    headers: tuple[tuple[str, str], ...] = ()
    instance_header: str = ""
    instance: str = ""
    is_unique: bool = False

    def encode(self, host: str) -> bytes:
        """Return the bytes of the request, which closes the connection."""
        headers = (("Host", host), ("Connection", "close"), *self.headers)
        lines = [f"GET {self.target} HTTP/1.1", *map(": ".join, headers), "", ""]
        return "\r\n".join(lines).encode()

    def identify(self, status: int, headers: Mapping[str, str]) -> Identity:
        """Return which process has sent an answer.

        Args:
            status: HTTP status of the answer.
            headers: Its headers, with names in lower case.
        """
        if status == MISDIRECTED:
            return Identity.OTHER
        name = headers.get(self.instance_header)
        if name is None:
            return Identity.UNSTATED
        if name != self.instance:
            return Identity.OTHER
        return Identity.SAME if self.is_unique else Identity.UNSTATED
