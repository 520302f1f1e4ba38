"""Messages between control replicas and the nodes that subscribe to them."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.wire.record import Message, Record


class Subscribe(Message, frozen=True, array_like=True, tag=30):
    """Subscribes to the configuration feed of a control replica.

    Args:
        node: Name of the subscriber.
        incarnation: Its incarnation.
        version: Highest version it has, 0 for none.
        clock: The subscriber's clock.
        replica_count: Number of replicas that it subscribes to if they are available.
    """

    node: str
    incarnation: int
    version: int
    clock: int = -1
    replica_count: int = 1


class Snapshot(Message, frozen=True, array_like=True, tag=31):
    """The complete configuration, as CBOR of `leadseam.control.configuration`."""

    version: int
    data: bytes


class Delta(Message, frozen=True, array_like=True, tag=32):
    """Operations of one accepted change.

    Args:
        version: Version after the change, which applies to the version before it.
        data: CBOR of the operations.
    """

    version: int
    data: bytes


class Current(Message, frozen=True, array_like=True, tag=33):
    """Heartbeat of the feed: the replica is up to date at this version.

    Args:
        version: The version.
        echo: The subscriber's clock from its last `InForce`, -1 before the first. It
            shows the heartbeat's age, as one that waited in a buffer is out of date.
        subscribers: Number of subscribed entries, 0 if they are not counted.
    """

    version: int
    echo: int = -1
    subscribers: int = 0


class InForce(Message, frozen=True, array_like=True, tag=34):
    """A subscriber has applied a version.

    Args:
        version: The version.
        clock: The subscriber's clock.
    """

    version: int
    clock: int = -1


class Registration(Record, frozen=True, array_like=True):
    """An upstream as its heartbeat describes it.

    Args:
        incarnation: Incarnation of the upstream.
        pool: Pool that it serves.
        ip: IP address of the server.
        port: Its port.
        failure_domain: Failure domain of its box.
        slots: Requests that it processes concurrently.
        ready: Whether it accepts new requests.
        sequence: Grows with each heartbeat of this incarnation.
        cold_remaining: Milliseconds for which it is still slow after its start.
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
        """Id of the upstream, which its other incarnations share."""
        return self.incarnation.instance


class Registered(Message, frozen=True, array_like=True, tag=35):
    """Upstreams that send heartbeats to the sending replica.

    Args:
        rows: New and changed registrations, or all of them.
        whole: Whether the rows replace all that the replica has sent before.
    """

    rows: tuple[Registration, ...]
    whole: bool = False


class Expired(Message, frozen=True, array_like=True, tag=36):
    """Upstreams whose heartbeats the sending replica no longer receives."""

    incarnations: tuple[Incarnation, ...]


class Left(Message, frozen=True, array_like=True, tag=37):
    """Upstreams that leave, which is final for these and their earlier incarnations."""

    incarnations: tuple[Incarnation, ...]


class Evacuated(Message, frozen=True, array_like=True, tag=46):
    """All evacuated failure domains; replaces older revisions.

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
    """Load of one upstream, from one entry or from all.

    Args:
        upstream: Digest of the upstream's incarnation.
        requests: Requests in flight.
        unread: Prompt tokens of the requests without a first byte of an answer.
        memory: Tokens that the requests are expected to keep in memory.
    """

    upstream: int
    requests: int
    unread: int
    memory: int


class UsageRow(Record, frozen=True, array_like=True):
    """Recent service of one client account, at one entry or at all.

    Args:
        account: The client account.
        served: Service of requests that were sent to upstreams.
        requested: Service of requests that arrived.
    """

    account: str
    served: int
    requested: int


class LoadReport(Message, frozen=True, array_like=True, tag=39):
    """An entry's own load and usage; replaces its last report.

    Args:
        sequence: Number of the report.
        rows: Upstreams with requests in flight.
        usage: Client accounts with recent requests.
    """

    sequence: int
    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]


class LoadSums(Record, frozen=True, array_like=True):
    """Load and usage of all entries, added up by a replica.

    Args:
        rows: Upstreams with requests in flight.
        usage: Client accounts with recent requests.
    """

    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]


class LoadTotals(Message, frozen=True, array_like=True, tag=44):
    """The sums, with the number of the receiver's report that they include.

    Args:
        included: Number of the receiver's report.
        data: The sums as CBOR of `LoadSums`, encoded once for all receivers.
    """

    included: int
    data: bytes
