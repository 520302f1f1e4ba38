"""The splitter returns complete events and loses no byte."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from leadseam.event_stream import (
    MAX_EVENT_SIZE,
    EventSplitter,
    EventTooLongError,
)

STREAM = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n"


def test_events() -> None:
    assert EventSplitter().feed(STREAM) == [
        b"id: 1\ndata: a\n\n",
        b"id:2\r\ndata: b\r\n\r\n",
        b"data: c\n\n",
    ]


def test_an_incomplete_event_stays_buffered() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\nda") == []
    assert splitter.pending == b"id: 1\nda"
    assert splitter.feed(b"ta: x\n\nid: 2") == [b"id: 1\ndata: x\n\n"]
    assert splitter.pending == b"id: 2"


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_cuts_anywhere_change_nothing(cuts: list[int]) -> None:
    places = [0, *sorted(cuts), len(STREAM)]
    splitter = EventSplitter()
    events: list[bytes] = []
    for start, end in itertools.pairwise(places):
        events += splitter.feed(STREAM[start:end])
    assert events == EventSplitter().feed(STREAM)
    assert splitter.pending == b""


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_a_stream_is_unfinished_after_each_byte_of_an_event_but_the_last(
    line_end: bytes,
) -> None:
    event = b"id: 2\ndata: \xc3\xa9\n\n".replace(b"\n", line_end)
    for size in range(1, len(event)):
        splitter = EventSplitter()
        assert splitter.feed(event + event[:size]) == [event]
        assert splitter.unfinished == size
    assert EventSplitter().feed(event + event) == [event] * 2


@pytest.mark.parametrize(
    ("tail", "unfinished"),
    [
        (b"", 0),
        (b"\n", 0),
        (b"\r\n", 0),
        (b": waiting\n", 0),
        (b": wait", 6),
        (b"retry: 10\n", 10),
        (b"\xef\xbb\xbf", 3),
    ],
)
def test_what_follows_the_last_event_is_unfinished_if_an_event_or_line_has_begun(
    tail: bytes, unfinished: int
) -> None:
    splitter = EventSplitter()
    splitter.feed(b"data: a\n\n")
    splitter.feed(tail)
    assert splitter.unfinished == unfinished
    assert splitter.pending == tail


def test_a_mixture_of_line_ends_ends_an_event() -> None:
    assert EventSplitter().feed(b"id: 1\ndata: a\n\r\nid: 2\n\n") == [
        b"id: 1\ndata: a\n\r\n",
        b"id: 2\n\n",
    ]


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
def test_many_comment_lines_behind_the_last_event_are_read_in_linear_time(
    line_end: bytes,
) -> None:
    """Guards against a pattern whose time doubles with each line that ends in CR LF."""
    splitter = EventSplitter()
    comments = b": keep-alive" + line_end
    splitter.feed(comments * 10_000 + b"data: cut")
    assert splitter.unfinished == len(comments) * 10_000 + len(b"data: cut")
    quiet = EventSplitter()
    quiet.feed(comments * 10_000)
    assert quiet.unfinished == 0


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n"])
def test_an_event_in_many_reads_is_searched_once(line_end: bytes) -> None:
    searched = 0

    class Counting(EventSplitter):
        def _end_of_event(self, begin: int) -> int:
            nonlocal searched
            searched += len(self._buffer) - begin
            return super()._end_of_event(begin)

    reads = 2_000
    splitter = Counting()
    for _ in range(reads):
        assert splitter.feed(b"data: x" + line_end) == []
    assert len(splitter.feed(line_end)) == 1
    read = (len(b"data: x") + len(line_end)) * reads
    assert searched <= 2 * read


def test_many_events_in_one_read_are_searched_once() -> None:
    events = EventSplitter().feed(b"id: 1\n\n" * 100_000 + b"id")
    assert len(events) == 100_000


def test_an_event_without_an_end_is_not_buffered_without_a_limit() -> None:
    splitter = EventSplitter()
    splitter.feed(b"a" * MAX_EVENT_SIZE)
    with pytest.raises(EventTooLongError):
        splitter.feed(b"a")
