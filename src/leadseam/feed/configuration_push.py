"""What a replica sends of the configuration to those who follow it.

Nodes follow every replica. If each of five sent each version, a node would get it five
times. So for each node one replica is first, by rendezvous hashing, and the others send
only what the node has not told to be in force some time later.
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
    from leadseam.wire.link import Link

PRIMARY_HEAD_START: Millis = 150
"""Time that the first replica has before the others send too: some round trips and
turns of a busy node's loop, and below a tenth of the least time in which operators want
a change in force (2 s)."""


@dataclass(slots=True)
class Subscriber:
    """A node on the feed.

    Args:
        number: Its number at this replica.
        node: Its name.
        link: Its link.
        sent: Highest version sent.
        in_force: Highest version that it reported, from whichever replica it came.
        clock: Its clock from its last report.
        replicas: Names of the control boxes that it was last told.
        alone: Whether it follows no other replica.
    """

    number: int
    node: str
    link: Link
    sent: int
    in_force: int = 0
    clock: int = -1
    replicas: tuple[str, ...] = ()
    single_replica: bool = False

    @property
    def known_version(self) -> int:
        """Highest version that it has or that is on its way."""
        return max(self.sent, self.in_force)


class ConfigurationPush:
    """Sends subscribers what they lack, if this replica may speak for the fleet.

    Args:
        replica: Source of the configuration.
        metrics: Counters.
    """

    def __init__(self, replica: Replica, metrics: ControlMetrics) -> None:
        self._replica = replica
        self._metrics = metrics
        self._snapshot = Snapshot(0, b"")

    def __repr__(self) -> str:
        return f"ConfigurationPush(snapshot={self._snapshot.version})"

    def is_primary_for(self, subscriber: Subscriber) -> bool:
        """Tell whether this replica sends a subscriber a change before the others."""
        if subscriber.single_replica:
            return True
        own = box_name(self._replica.raft.identity)
        names = {*self._replica.members, own}
        first = max(names, key=lambda name: _rendezvous_weight(subscriber.node, name))
        return bool(own == first)

    def send(self, subscriber: Subscriber) -> None:
        """Send what a subscriber lacks, if this replica is current."""
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

        Nodes do not need the operators' document that it was read from, half of it.
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
