"""Pools and versions that began recent streams. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from leadseam.clock import Millis

MAX_STREAMS = 200_000
"""Maximum streams kept of one generation, some 20 MB."""
DIGEST_SIZE = 5
"""Size of a digest in bytes. Among 200,000 streams, one in five million ids that were
never used has the digest of a stream."""


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Upstreams that may continue a stream.

    Args:
        pool: Pool of the upstream that began it.
        version: Version of that upstream's software.
    """

    pool: str
    version: str


AMBIGUOUS = StreamOrigin("", "")
"""Stands for a stream that was begun at two versions under one id."""


class StreamTable:
    """Origins of streams, kept for at least a given time after they began.

    Streams are kept in two generations, of which the older one is dropped as a whole.
    """

    def __init__(self) -> None:
        self._current: dict[int, StreamOrigin] = {}
        self._previous: dict[int, StreamOrigin] = {}
        self._rotated_at: Millis = 0

    def __repr__(self) -> str:
        return f"StreamTable(streams={len(self)})"

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def add(self, stream: int, origin: StreamOrigin) -> bool:
        """Record where a stream began.

        An id that is used for two streams of different origins is ambiguous from then.

        Returns:
            Whether that was not recorded yet in the current generation.
        """
        known = self.find(stream) or origin
        if known != origin:
            origin = AMBIGUOUS
        if len(self._current) >= MAX_STREAMS or self._current.get(stream) == origin:
            return False
        self._current[stream] = origin
        return True

    def find(self, stream: int) -> StreamOrigin | None:
        """Return where a stream began, or None if it is not known."""
        return self._current.get(stream) or self._previous.get(stream)

    def of_pool(self, pool: str) -> Iterator[tuple[int, StreamOrigin]]:
        """Yield the streams that began in a pool."""
        for generation in (self._previous, self._current):
            for stream, origin in generation.items():
                if origin.pool == pool:
                    yield stream, origin

    def rotate(self, now: Millis, lifetime: Millis) -> bool:
        """Drop streams that began longer ago than `lifetime`; call it periodically.

        Returns:
            Whether a new generation has begun.
        """
        if now - self._rotated_at < lifetime:
            return False
        self._rotated_at = now
        self._previous, self._current = self._current, {}
        return True


def stream_digest(account: str | None, request_id: str) -> int:
    """Return a hash of `DIGEST_SIZE` bytes that identifies a stream among processes.

    Args:
        account: Client account of the caller, so that a caller cannot name streams of
            another account.
        request_id: Id of the caller's attempt that brought the first event.
    """
    digest = xxhash.xxh3_64_digest(f"{account or ''}/{request_id}".encode())
    return int.from_bytes(digest[:DIGEST_SIZE])


def pack_digests(streams: Iterable[int]) -> bytes:
    """Return digests as bytes, for messages."""
    return b"".join(stream.to_bytes(DIGEST_SIZE) for stream in streams)


def unpack_digests(data: bytes) -> Iterator[int]:
    """Yield the digests that `pack_digests` has packed; a rest is ignored."""
    for end in range(DIGEST_SIZE, len(data) + 1, DIGEST_SIZE):
        yield int.from_bytes(data[end - DIGEST_SIZE : end])
