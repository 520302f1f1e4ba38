"""Registrations are sent to all entries in few messages, each encoded once.

Guards against a slow start of the whole fleet: each registration was sent as a message
of its own, logged, and encoded for each of 150 entries. After all of 300 boxes were
killed, it took more than 30 s until requests were served again with 3,001 upstreams,
and 1 s with 300.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, cast
from unittest import mock

import pytest

from leadseam.clock import ManualClock
from leadseam.control.configuration import Configuration, Pool, PoolKind
from leadseam.control.state import ControlState, Replace
from leadseam.feed.configuration_push import Subscriber
from leadseam.feed.server import FeedServer
from leadseam.membership.registry import Registry
from leadseam.runtime.metrics import ControlMetrics, Metrics
from leadseam.wire import codec
from leadseam.wire.codec import (
    EncodedMessage,
    decode_frame,
    encode_frame,
    encode_message,
)
from leadseam.wire.feed import Current, Left, Registered
from leadseam.wire.link import MAX_PER_FRAME
from tests.routing.samples import make_upstream

ENTRIES = 150
UPSTREAMS = 600


@dataclass
class FakeLink:
    sent: list[EncodedMessage] = field(default_factory=list)

    def send(self, message: EncodedMessage) -> None:
        self.sent.append(message)


class Box:
    """The feed server of a control box, with one subscriber for each entry."""

    def __init__(self) -> None:
        self.state = ControlState()
        pools = {"p": Pool("p", PoolKind.SERVICE)}
        self.state.apply(Replace(Configuration(1, pools=pools)))
        self.feed = FeedServer(
            cast("Any", self),
            ControlMetrics(Metrics()),
            registry=Registry(1_200),
            clock=ManualClock(),
        )
        self.links = [FakeLink() for _ in range(ENTRIES)]
        for number, link in enumerate(self.links):
            name = f"entry-{number}"
            subscriber = Subscriber(number, name, cast("Any", link), 0)
            self.feed._subscribers[number] = subscriber


def test_many_registrations_are_one_message_that_is_encoded_once() -> None:
    box = Box()
    with mock.patch.object(codec, "encode", wraps=codec.encode) as counted:
        for number in range(UPSTREAMS):
            box.feed.register(make_upstream(number))
        box.feed.push_registrations()
        box.feed.push_registrations()
    assert counted.call_count == 1
    for link in box.links:
        (prepared,) = link.sent
        assert isinstance(prepared.message, Registered)
        assert len(prepared.message.rows) == UPSTREAMS


def test_the_newest_heartbeat_of_an_upstream_is_sent() -> None:
    box = Box()
    box.feed.register(make_upstream(1, sequence=1))
    box.feed.register(make_upstream(1, sequence=2, start=9))
    box.feed.push_registrations()
    (prepared,) = box.links[0].sent
    assert isinstance(prepared.message, Registered)
    (row,) = prepared.message.rows
    assert row.incarnation.start == 9


@pytest.mark.parametrize("length", [1, 23, 24, 255, MAX_PER_FRAME])
def test_frames_of_prepared_messages_are_read_as_any_other(length: int) -> None:
    messages = [Current(number) for number in range(length)]
    mixed = [
        encode_message(one) if number % 2 else one
        for number, one in enumerate(messages)
    ]
    mixed[-1] = encode_message(Left(()))
    messages[-1] = cast("Any", Left(()))
    assert decode_frame(encode_frame(mixed)) == tuple(messages)
