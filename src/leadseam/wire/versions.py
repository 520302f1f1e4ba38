"""Messages about the software versions that begin and continue streams."""

from __future__ import annotations

from leadseam.wire.record import Message, Record


class VersionRow(Record, frozen=True, array_like=True):
    """A software version that upstreams of a pool run, or ran recently.

    Args:
        pool: Name of the pool.
        version: The version; empty if the upstreams state none.
        age: Milliseconds since an upstream of it was last registered.
    """

    pool: str
    version: str
    age: int = 0


class Versions(Message, frozen=True, array_like=True, tag=60):
    """Versions known to the sender, which the receiver merges into its own.

    Args:
        rows: The versions.
        complete: Whether the sender knows every version that may have begun a stream
            that can still be resumed.
    """

    rows: tuple[VersionRow, ...]
    complete: bool = False


class StreamsBegan(Message, frozen=True, array_like=True, tag=61):
    """Streams that an entry has begun at upstreams of one version.

    Args:
        pool: Pool of the upstreams.
        version: Their version.
        streams: Digests of the streams; see `routing.stream_origin.pack_digests`.
    """

    pool: str
    version: str
    streams: bytes


class FindStream(Message, frozen=True, array_like=True, tag=62):
    """Asks a replica which version began a stream.

    Args:
        ticket: Number that the reply carries.
        stream: Digest of the stream.
    """

    ticket: int
    stream: int


class StreamFound(Message, frozen=True, array_like=True, tag=63):
    """Reply to `FindStream`.

    Args:
        ticket: Number of the question.
        known: Whether the replica knows which version began the stream.
        pool: Pool that began it.
        version: Version that began it.
        recent_start: Whether the replica has started so recently that entries may not
            have sent it the streams that they began before.
    """

    ticket: int
    known: bool
    pool: str = ""
    version: str = ""
    recent_start: bool = False
