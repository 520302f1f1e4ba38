"""How much of a box's memory and descriptors its peers may use."""

from __future__ import annotations

from dataclasses import dataclass

BYTES_PER_MB = 1_000_000
PEER_PART = 0.5
"""Fraction of the memory that the process does not use when it starts. The remainder
holds its state, answers on their way, and bytes that have been read but not charged."""
MIN_BYTES = 12 * BYTES_PER_MB
"""Bytes that peers may use at least: less could not hold the largest request of the
default limits."""
DEFAULT_BYTES = 128 * BYTES_PER_MB
"""Bytes that peers may use if the memory of the box is not stated."""
CONNECTION_PART = 0.75
"""Fraction of the sockets that peers may use; upstreams and links have the others."""
DEFAULT_CONNECTIONS = 4_096


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Limits on what a process holds for its peers.

    Args:
        max_bytes: Bytes of requests and connections together.
        max_connections: Number of open connections.
    """

    max_bytes: int = DEFAULT_BYTES
    max_connections: int = DEFAULT_CONNECTIONS

    @classmethod
    def of_box(cls, *, memory_mb: int, resident: int, sockets: int) -> PeerLimits:
        """Return the limits for a process on some box.

        Args:
            memory_mb: Memory that the process may use, in MB; 0 if not stated.
            resident: Bytes that it uses when it starts.
            sockets: Sockets that it may have open; 0 if not stated.
        """
        max_bytes = DEFAULT_BYTES
        if memory_mb:
            free = memory_mb * BYTES_PER_MB - resident
            max_bytes = max(MIN_BYTES, round(free * PEER_PART))
        connections = round(sockets * CONNECTION_PART)
        return cls(max_bytes, connections or DEFAULT_CONNECTIONS)
