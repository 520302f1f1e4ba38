"""Sends a replica's configuration to its subscribers.

Nodes follow every replica. If each of five replicas sent each version, a node would
receive it five times. So each node has a primary replica, selected by rendezvous
hashing, which sends at once; the others send a version later, and only if the node has
not reported it as in force by then.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
import xxhash

from leadseam.control.raft_log import box_name
from leadseam.wire.codec import encode
from leadseam.wire.feed import Delta, Snapshot

if TYPE_CHECKING:
    from leadseam.clock import Millis
    from leadseam.control.configuration import Configuration
    from leadseam.control.replica import Replica
    from leadseam.runtime.metrics import ControlMetrics
    from leadseam.wire.feed import SlackNeed
    from leadseam.wire.link import Link

PRIMARY_HEAD_START: Millis = 150
"""Time after which the other replicas send what the primary replica has not. It covers
some round trips and iterations of a busy node's event loop, and is below a tenth of the
shortest time within which operators expect a change to be in force (2 s)."""


@dataclass(slots=True)
class Subscriber:
    """A node that is subscribed to the feed of this replica.

    Args:
        number: Number of the subscription at this replica.
        node: Name of the node.
        link: Link to the node.
        sent: Highest version sent to it.
        in_force: Highest version that it reported, whichever replica sent it.
        clock: Time of the node's clock in its last report.
        replicas: Names of the control boxes that were last sent to it.
        single_replica: Whether it follows no other replica.
        reads_versions: Whether it understands `Versions`.
        incarnation: Incarnation of the node.
        slack: Slack of retry budgets that the node needs, in its last report.
    """

    number: int
    node: str
    link: Link
    sent: int
    in_force: int = 0
    clock: int = -1
    replicas: tuple[str, ...] = ()
    single_replica: bool = False
    reads_versions: bool = False
    incarnation: int = 0
    slack: tuple[SlackNeed, ...] = ()

    @property
    def process(self) -> str:
        """Identifier of the process that is subscribed."""
        return f"{self.node}#{self.incarnation}"

    @property
    def known_version(self) -> int:
        """Highest version that the node has or that was sent to it."""
        return max(self.sent, self.in_force)


class ConfigurationPush:
    """Sends subscribers the versions they lack, if this replica is current.

    Args:
        replica: Source of the configuration.
        metrics: Metrics of the replica.
    """

    def __init__(self, replica: Replica, metrics: ControlMetrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self._snapshot = Snapshot(0, b"")

    def __repr__(self) -> str:
        return f"ConfigurationPush(snapshot={self._snapshot.version})"

    def is_primary_for(self, subscriber: Subscriber) -> bool:
        """Return whether this is the primary replica of a subscriber."""
        if subscriber.single_replica:
            return True
        own = box_name(self._replica.raft.identity)
        names = {*self._replica.members, own}
        first = max(names, key=lambda name: _rendezvous_weight(subscriber.node, name))
        return bool(own == first)

    def send(self, subscriber: Subscriber) -> None:
        """Send a subscriber the versions it lacks, if this replica is current."""
        state = self._replica.state
        version = state.configuration.version
        if subscriber.known_version >= version or not self._replica.is_current():
            return
        deltas = state.deltas_after(subscriber.known_version)
        if deltas is None or subscriber.known_version == 0:
            self._send(subscriber, self._snapshot_of(state.configuration))
        else:
            for delta in deltas:
                data = encode(delta.operations)
                self._send(subscriber, Delta(delta.version, data))
        subscriber.sent = version

    def _snapshot_of(self, configuration: Configuration) -> Snapshot:
        """Return a snapshot, encoded once for all subscribers.

        The operators' document that the configuration was parsed from is left out:
        nodes don't need it, and it is half of the size.
        """
        if self._snapshot.version != configuration.version:
            bare = msgspec.structs.replace(configuration, document=b"")
            self._snapshot = Snapshot(configuration.version, encode(bare))
        return self._snapshot

    def _send(self, subscriber: Subscriber, message: Snapshot | Delta) -> None:
        subscriber.link.send(message)
        self._metrics.feed_bytes.add({}, len(message.data))


def _rendezvous_weight(node: str, replica: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{node}/{replica}".encode())
