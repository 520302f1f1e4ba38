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
        failure_domain: Failure domain of an entry that reports its load, else empty.
        reads_versions: Whether it understands `Versions`.
    """

    node: str
    incarnation: int
    version: int
    clock: int = -1
    replica_count: int = 1
    failure_domain: str = ""
    reads_versions: bool = False


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


class SlackNeed(Record, frozen=True, array_like=True):
    """Retries of an entry at a pool that its own requests do not allow.

    Args:
        pool: The pool.
        retries: Retries of the current window beyond the ratio, made or denied.
        held: Share of the slack that the entry may use now.
    """

    pool: str
    retries: int
    held: int = 0


class SlackShare(Record, frozen=True, array_like=True):
    """An entry's share of the slack of a pool's retry budget.

    Args:
        pool: The pool.
        retries: Retries beyond the ratio that any window may hold.
    """

    pool: str
    retries: int


class Current(Message, frozen=True, array_like=True, tag=33):
    """Heartbeat of the feed: the replica is up to date at this version.

    Args:
        version: The version.
        echo: The subscriber's clock from its last `InForce`, -1 before the first. It
            shows the heartbeat's age, as one that waited in a buffer is out of date.
        subscribers: Number of subscribed entries, 0 if they are not counted.
        by_domain: Whether loads are aggregated by domain, a number of
            `feed.domain_mode.DomainMode`. Replicas of earlier versions send none.
        slack: Shares of the slack of retry budgets, leased for `LEASE` of
            `feed.slack_ledger` from `echo` on; empty if the replica does not lead.
    """

    version: int
    echo: int = -1
    subscribers: int = 0
    by_domain: int = 0
    slack: tuple[SlackShare, ...] = ()


class InForce(Message, frozen=True, array_like=True, tag=34):
    """A subscriber has applied a version.

    Args:
        version: The version.
        clock: The subscriber's clock.
        slack: The slack that an entry needs, by pool.
    """

    version: int
    clock: int = -1
    slack: tuple[SlackNeed, ...] = ()


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
        version: Version of its software, empty if it states none; None if the sending
            replica is of an earlier version and does not know it.
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
    version: str | None = None

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
    """Names of the boxes of the control group.

    Args:
        names: The names.
        failure_domain: Failure domain of the sending replica, empty if not stated.
        holds_streams: Whether the sending replica understands `Versions`,
            `StreamsBegan` and `FindStream`.
    """

    names: tuple[str, ...]
    failure_domain: str = ""
    holds_streams: bool = False


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


class EntryRoom(Record, frozen=True, array_like=True):
    """Whether an entry can take more requests.

    Args:
        failure_domain: Failure domain of its box.
        has_room: Whether it can take more requests than it gets.
        address: Internal address at which it takes connections over, as "IP:PORT";
            empty if it takes none.
        processor_share: Processor time that it may use, in thousandths of a core.
    """

    failure_domain: str
    has_room: bool
    address: str = ""
    processor_share: int = 0


class RoomOffer(Record, frozen=True, array_like=True):
    """An entry with room that takes over connections of busy ones.

    Args:
        failure_domain: Failure domain of its box.
        address: Its internal address, as "IP:PORT".
        processor_share: Processor time that it may use, in thousandths of a core.
    """

    failure_domain: str
    address: str
    processor_share: int


class DomainRoom(Record, frozen=True, array_like=True):
    """How many entries of a failure domain can take more requests.

    Args:
        failure_domain: The failure domain.
        entries: Entries that reported recently.
        with_room: Those that can take more requests.
    """

    failure_domain: str
    entries: int
    with_room: int


class LoadReport(Message, frozen=True, array_like=True, tag=39):
    """An entry's own load and usage; replaces its last report.

    Args:
        sequence: Number of the report.
        rows: Upstreams with requests in flight.
        usage: Client accounts with recent requests.
        room: Whether the entry can take more requests, or None if it cannot tell.
        probe: Whether the report only asks for an answer and is not to be added up.
            It withdraws the entry's earlier reports to the same replica.
    """

    sequence: int
    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]
    room: EntryRoom | None = None
    probe: bool = False


class LoadSums(Record, frozen=True, array_like=True):
    """Load and usage of all entries, added up by a replica.

    Args:
        rows: Upstreams with requests in flight.
        usage: Client accounts with recent requests.
        rooms: Failure domains with entries that report their room.
        offers: Some of the entries with room that take connections over, of those that
            report to the sending replica.
    """

    rows: tuple[LoadRow, ...]
    usage: tuple[UsageRow, ...]
    rooms: tuple[DomainRoom, ...] = ()
    offers: tuple[RoomOffer, ...] = ()


class LoadTotals(Message, frozen=True, array_like=True, tag=44):
    """The sums, with the number of the receiver's report that they include.

    Args:
        included: Number of the receiver's report.
        data: The sums as CBOR of `LoadSums`, encoded once for all receivers.
    """

    included: int
    data: bytes


class DomainSums(Message, frozen=True, array_like=True, tag=49):
    """Sums of the entries that report to one replica, sent to other replicas.

    Args:
        replica: Name of the sending replica.
        sequence: Grows with each message of one run of that replica.
        data: The sums as CBOR of `LoadSums`.
        run: Random number of the run of that replica.
        entries: Digests of the entries whose reports the sums contain, of
            `feed.domain_sums.ENTRY_DIGEST_BYTES` each.
        by_domain: Whether the sender needs the sums of the receiver because entries
            may report to either of them.
    """

    replica: str
    sequence: int
    data: bytes
    run: int = 0
    entries: bytes = b""
    by_domain: bool = False


class PartInterest(Message, frozen=True, array_like=True, tag=47):
    """Shared prompt parts whose holders an entry wants to know.

    Args:
        parts: Digests of the parts; see `routing.part_holders.part_digest`.
    """

    parts: tuple[int, ...]


class EngineCache(Record, frozen=True, array_like=True):
    """Prompt parts in one engine's memory, or changes of them.

    Args:
        engine: Digest of the engine's incarnation.
        whole: Whether `held` replaces everything told of this engine before.
        held: Digests of parts and the number of tokens kept of each.
        gone: Digests of parts that are no longer held.
    """

    engine: int
    whole: bool
    held: tuple[tuple[int, int], ...] = ()
    gone: tuple[int, ...] = ()


class CacheChanges(Message, frozen=True, array_like=True, tag=48):
    """Prompt parts held by engines that the sending replica watches.

    Args:
        rows: One row for each engine with changes.
        unwatched: Digests of engines that the replica no longer watches.
    """

    rows: tuple[EngineCache, ...]
    unwatched: tuple[int, ...] = ()
