"""The splitter returns complete events and loses no byte."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.routing.events import Event, EventSplitter

STREAM = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"


def test_events_and_their_ids() -> None:
    assert EventSplitter().feed(STREAM) == [
        Event(b"id: 1\ndata: a\n\n", "1"),
        Event(b"id:2\r\ndata: b\r\n\r\n", "2"),
        Event(b"data: c\n\n", None),
    ]


def test_an_incomplete_event_stays_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") == []
    assert splitter.pending == b"id: 1\nda"
    assert splitter.feed(b"ta: x\n\nid: 2") == [Event(b"id: 1\ndata: x\n\n", "1")]
    assert splitter.pending == b"id: 2"


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_cuts_anywhere_change_nothing(cuts: list[int]) -> None:
    places = [0, *sorted(cuts), len(STREAM)]
    splitter = EventSplitter()
    events: list[Event] = []
    for start, end in itertools.pairwise(places):
        events += splitter.feed(STREAM[start:end])
    assert events == EventSplitter().feed(STREAM)
    assert splitter.pending == b""
