"""A change of the configuration is sent to each node once, not once by each replica.

Guards against needless traffic: every replica sent each of some 30 changes to every
entry, including the operators' document, which no entry reads. Each snapshot was
encoded for each entry and decoded five times there. A benchmark day of 54 s with 68
entries and five control boxes moved 0.52 GB between failure domains. Now a node gets
one snapshot for each change instead of five, if its primary replica is up.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, cast
from unittest import mock

import pytest

from leadseam.control.configuration import Account, Configuration
from leadseam.control.state import ControlState, Replace
from leadseam.feed import configuration_push as module
from leadseam.feed.configuration_push import ConfigurationPush, Subscriber
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.wire.codec import decode, encode
from leadseam.wire.feed import Snapshot

if TYPE_CHECKING:
    from leadseam.control.replica import Replica
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage

BOXES = ("10.1.0.1", "10.2.0.1", "10.3.0.1", "10.4.0.1", "10.5.0.1")
ENTRIES = 68
ACCOUNTS = {f"a{n}": Account(f"a{n}", key_hashes=(f"{n:064x}",)) for n in range(60)}
DOCUMENT = b"{}" * 10_000


@dataclass
class FakeRaft:
    identity: str


@dataclass
class FakeReplica:
    """A replica with its own state, which is current unless the test changes that."""

    raft: FakeRaft
    members: set[str] = field(default_factory=lambda: set(BOXES))
    state: ControlState = field(default_factory=ControlState)
    current: bool = True

    def is_current(self) -> bool:
        return self.current


@dataclass
class FakeLink:
    sent: list[AnyMessage] = field(default_factory=list)

    def send(self, message: AnyMessage) -> None:
        self.sent.append(message)


class Box:
    """A control box with one subscriber for each entry."""

    def __init__(self, name: str, *, single_replica: bool = False) -> None:
        self.replica = FakeReplica(FakeRaft(f"{name}#first"))
        metrics = ControlMetrics(Metrics())
        self.push = ConfigurationPush(cast("Replica", self.replica), metrics)
        self.links = [FakeLink() for _ in range(ENTRIES)]
        self.subscribers = [
            Subscriber(
                n, f"entry-{n}", cast("Link", link), 1, single_replica=single_replica
            )
            for n, link in enumerate(self.links)
        ]

    def change(self, version: int) -> None:
        """Commit a whole configuration."""
        new = Configuration(version, accounts=ACCOUNTS, document=DOCUMENT)
        self.replica.state.apply(Replace(new))

    def send_as_primary(self) -> None:
        """Send to the subscribers whose primary replica is this box."""
        for subscriber in self.subscribers:
            if self.push.is_primary_for(subscriber):
                self.push.send(subscriber)

    def send_to_all(self) -> None:
        """Send to all subscribers that lack a version."""
        for subscriber in self.subscribers:
            self.push.send(subscriber)

    @property
    def sent(self) -> int:
        return sum(len(link.sent) for link in self.links)


def report_in_force(boxes: list[Box], version: int) -> None:
    """Have the entries that received a version report it to every box."""
    for number in range(ENTRIES):
        if any(box.links[number].sent for box in boxes):
            for box in boxes:
                box.subscribers[number].in_force = version


def test_each_entry_gets_a_change_once_from_its_primary_replica() -> None:
    boxes = [Box(name) for name in BOXES]
    for box in boxes:
        box.change(7)
        box.send_as_primary()
    assert sum(box.sent for box in boxes) == ENTRIES
    # The entries are spread over the boxes: none serves them all.
    assert max(box.sent for box in boxes) <= 24
    report_in_force(boxes, 7)
    for box in boxes:
        box.send_to_all()
    assert sum(box.sent for box in boxes) == ENTRIES


def test_a_primary_replica_that_is_not_current_delays_no_node_forever() -> None:
    boxes = [Box(name) for name in BOXES]
    boxes[0].replica.current = False
    for box in boxes:
        box.change(7)
        box.send_as_primary()
    lacking = ENTRIES - sum(box.sent for box in boxes)
    assert lacking > 0
    report_in_force(boxes, 7)
    boxes[1].send_to_all()
    for number in range(ENTRIES):
        assert any(box.links[number].sent for box in boxes)


def test_a_node_that_follows_one_replica_waits_for_no_other() -> None:
    box = Box(BOXES[0], single_replica=True)
    box.change(7)
    box.send_as_primary()
    assert box.sent == ENTRIES


def test_a_snapshot_is_encoded_once_and_without_the_operators_document() -> None:
    box = Box(BOXES[0])
    box.change(7)
    with mock.patch.object(module, "encode", wraps=encode) as counted:
        box.send_to_all()
    assert counted.call_count == 1
    (snapshot,) = box.links[0].sent
    assert isinstance(snapshot, Snapshot)
    got = decode(snapshot.data, Configuration)
    assert (got.version, got.accounts, got.document) == (7, ACCOUNTS, b"")
    assert box.replica.state.configuration.document == DOCUMENT
    box.change(9)
    box.send_to_all()
    assert [len(link.sent) for link in box.links] == [2] * ENTRIES


@pytest.mark.parametrize("reported", [7, 9])
def test_versions_that_a_node_reported_are_not_sent(reported: int) -> None:
    box = Box(BOXES[0])
    box.change(7)
    for subscriber in box.subscribers:
        subscriber.in_force = reported
    box.send_to_all()
    assert box.sent == 0
