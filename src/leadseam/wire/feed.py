"""Messages between control replicas and the nodes that follow them."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.wire.record import Message, Record


class Subscribe(Message, frozen=True, array_like=True, tag=30):
    """Ask a control replica for its configuration feed.

    Args:
        node: Name of the subscriber.
        incarnation: Its incarnation.
        version: Highest version it holds, 0 for none.
        clock: The subscriber's clock.
        replica_count: Number of replicas that it follows if it can.
    """

    node: str
    incarnation: int
    version: int
    clock: int = -1
    replica_count: int = 1


class Snapshot(Message, frozen=True, array_like=True, tag=31):
    """A whole configuration, as CBOR of `leadseam.control.configuration`."""

    version: int
    data: bytes


class Delta(Message, frozen=True, array_like=True, tag=32):
    """Operations of one accepted change.

    Args:
        version: Version that the change leads to; it applies to the one before.
        data: CBOR of the operations.
    """

    version: int
    data: bytes


class Current(Message, frozen=True, array_like=True, tag=33):
    """Heartbeat of the feed: the replica is current at this version.

    Args:
        version: The version.
        echo: The subscriber's clock from its last `InForce`, -1 before the first. A
            heartbeat that waited in a buffer proves nothing about now.
        subscribers: Entries on the feed, 0 where that is not counted.
    """

    version: int
    echo: int = -1
    subscribers: int = 0


class InForce(Message, frozen=True, array_like=True, tag=34):
    """A subscriber has put a version in force.

    Args:
        version: The version.
        clock: The subscriber's clock.
    """

    version: int
    clock: int = -1


class Registration(Record, frozen=True, array_like=True):
    """An upstream as its heartbeat describes it.

    Args:
        incarnation: Which start of which upstream.
        pool: Pool that it serves.
        ip: IP number of the server.
        port: Its port.
        failure_domain: Failure domain of its box.
        slots: Requests that it works on at once.
        ready: Whether it takes new work.
        sequence: Grows with each heartbeat of this incarnation.
        cold_left: Milliseconds for which it is still slow from its start.
    """

    incarnation: Incarnation
    pool: str
    ip: str
    port: int
    failure_domain: str
    slots: int
    ready: bool
    sequence: int
    cold_remaining: int = 0

    @property
    def instance(self) -> str:
        """Its id, which another start of it has too."""
        return self.incarnation.instance


class Registered(Message, frozen=True, array_like=True, tag=35):
    """Upstreams that the sending replica hears; `whole` replaces what it said."""

    rows: tuple[Registration, ...]
    whole: bool = False


class Expired(Message, frozen=True, array_like=True, tag=36):
    """Upstreams that the sending replica no longer hears."""

    incarnations: tuple[Incarnation, ...]


class Left(Message, frozen=True, array_like=True, tag=37):
    """Upstreams that leave; final for these incarnations and all before them."""

    incarnations: tuple[Incarnation, ...]


class Evacuated(Message, frozen=True, array_like=True, tag=46):
    """All failure domains that are evacuated; replaces an older revision.

    Args:
        revision: Grows with each change.
        domains: Their names.
    """

    revision: int
    domains: tuple[str, ...]


class Replicas(Message, frozen=True, array_like=True, tag=38):
    """Names of the boxes of the control group."""

    names: tuple[str, ...]


class LoadRow(Record, frozen=True, array_like=True):
    """Work in flight at one upstream, of one entry or of all.

    Args:
        upstream: Digest of the upstream's incarnation.
        requests: Requests sent and not ended.
        unread: Prompt tokens of those without a first byte of an answer.
        memory: Tokens that the requests are expected to hold.
    """

    upstream: int
    requests: int
    unread: int
    memory: int


class UsageRow(Record, frozen=True, array_like=True):
    """Service of one client account of late, at one entry or at all.

    Args:
        account: The client account.
        served: Service of requests that were sent to upstreams.
        requested: Service of requests that arrived.
    """

    account: str
    served: int
    requested: int


class LoadReport(Message, frozen=True, array_like=True, tag=39):
    """An entry's own counts; replaces its last report.

    Args:
        sequence: Number of the report.
        rows: Upstreams with work in flight.
        usage: Client accounts with requests of late.
    """

    sequence: int
    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]


class LoadSums(Record, frozen=True, array_like=True):
    """Counts of all entries, added up by a replica.

    Args:
        rows: Upstreams with work in flight.
        usage: Client accounts with requests of late.
    """

    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]


class LoadTotals(Message, frozen=True, array_like=True, tag=44):
    """The sums that contain the receiver's own report.

    Args:
        included: Number of that report.
        data: The sums as CBOR of `LoadSums`, encoded once for all receivers.
    """

    included: int
    data: bytes
