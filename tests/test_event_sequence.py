"""Only the events of a run, each once and in order, pass the check of a stream."""

from __future__ import annotations

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from leadseam.event_sequence import (
    EventFault,
    EventFormat,
    EventReader,
    EventSequence,
    SpoiltEvent,
)
from leadseam.event_stream import MAX_EVENT_SIZE, EventTooLongError

NUMBERED = EventFormat(first=1, counters=frozenset({"weights"}))
ANY = EventFormat()


def event(number: int) -> bytes:
    """Return an event of a run."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


MARK = b"\xef\xbb\xbf"
"""Byte order mark."""


def fields_of(block: bytes) -> list[bytes]:
    """Return the lines of an event that are not empty or comments."""
    return [one for one in block.splitlines() if one and not one.startswith(b":")]


def sequence_after(number: int) -> EventSequence:
    """Return the position behind an event."""
    return EventSequence(NUMBERED, resume_after=str(number))


@pytest.mark.parametrize(
    "block",
    [
        b"id: 2\ndata: a\n\n",
        b"id:2\ndata:a\n\n",
        b"id: 2\r\ndata: a\r\n\r\n",
        b"id: 2\rdata: a\r\r",
        b"data: a\nid: 2\ndata: b\nevent: token\n\n",
        b": comment\nid: 2\ndata\n\n",
        b"weights: 7\nid: 2\ndata: a\n\n",
        "id: 2\ndata: \u00e9\n\n".encode(),
        b"id: 2\ndata: a\nretry: 100\n\n",
    ],
)
def test_the_event_that_is_due_passes_in_any_form_of_the_standard(block: bytes) -> None:
    sequence = sequence_after(1)
    assert sequence.advance(block) is None
    assert sequence.last_id == "2"
    assert sequence.advance(event(3)) is None


@pytest.mark.parametrize(
    ("block", "fault"),
    [
        (b"data: a\n\n", EventFault.NO_ID),
        (b"id\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id:\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id: two\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id: -2\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id: +2\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id: 02\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id: 2\x00\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id:  2\ndata: a\n\n", EventFault.INVALID_ID),
        ("id: \u0662\ndata: a\n\n".encode(), EventFault.INVALID_ID),
        (b"id: " + b"9" * 5_000 + b"\ndata: a\n\n", EventFault.INVALID_ID),
        (b"id: 2\nid: 1\ndata: a\n\n", EventFault.SEVERAL_IDS),
        (b"id: 2\nid: 2\ndata: a\n\n", EventFault.SEVERAL_IDS),
        (b"id: 1\ndata: a\n\n", EventFault.REPEATED),
        (b"id: 0\ndata: a\n\n", EventFault.REPEATED),
        (b"id: 3\ndata: a\n\n", EventFault.SKIPPED),
        (b"id: 999999999999999999\ndata: a\n\n", EventFault.SKIPPED),
        (b"id: 2\n\n", EventFault.NO_DATA),
        (b"rubbish\nid: 2\ndata: a\n\n", EventFault.MALFORMED),
        (b"id: 2\ndata: a\nrubbish: b\n\n", EventFault.MALFORMED),
        (b"id: 2\ndata: \xff\n\n", EventFault.MALFORMED),
        (b"\x8a\x00rubbish\n\n", EventFault.MALFORMED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", EventFault.MALFORMED),
        (b"weights: old\nid: 2\ndata: a\n\n", EventFault.MALFORMED),
        (b"\xef\xbb\xbfid: 2\ndata: a\n\n", EventFault.MALFORMED),
    ],
)
def test_a_block_that_is_not_the_event_due_is_spoilt(
    block: bytes, fault: EventFault
) -> None:
    sequence = EventSequence(NUMBERED)
    assert sequence.advance(event(1)) is None
    assert sequence.advance(block) == SpoiltEvent(fault, 2, block[:64])
    assert sequence.last_id == "1"


@pytest.mark.parametrize("block", [b"\n", b": waiting\n\n", b"retry: 100\n\n"])
def test_blocks_without_an_event_do_not_count(block: bytes) -> None:
    sequence = EventSequence(NUMBERED)
    for number in (1, 2):
        assert sequence.advance(block) is None
        assert sequence.advance(event(number)) is None


def test_the_id_of_each_event_is_read_whatever_ends_its_lines() -> None:
    reader = EventReader(EventSequence(ANY))
    ids = []
    for block in (
        b"id: 1\ndata: a\n\n",
        b"id:2\r\ndata: b\r\n\r\n",
        b"id: 3\rdata\r\r",
    ):
        assert reader.feed(block + block[:1]) + reader.feed(b"") == [block]
        ids.append(reader.last_id)
        reader = EventReader(EventSequence(ANY, resume_after=reader.last_id))
    assert ids == ["1", "2", "3"]
    unnumbered = EventReader(EventSequence(ANY))
    assert unnumbered.feed(b"data: c\n\n") == [b"data: c\n\n"]
    assert unnumbered.last_id is None


def test_a_stream_begins_with_its_first_event() -> None:
    for number in (0, 2):
        assert EventSequence(NUMBERED).advance(event(number)) is not None
    with_mark = EventSequence(NUMBERED)
    assert with_mark.advance(b"\xef\xbb\xbf" + event(1)) is None


def test_only_the_first_block_may_begin_with_a_byte_order_mark() -> None:
    sequence = EventSequence(NUMBERED)
    assert sequence.advance(b"\xef\xbb\xbf: waiting\n\n") is None
    assert sequence.advance(b"\xef\xbb\xbf" + event(1)) is not None


def test_behind_an_empty_id_a_stream_begins_with_its_first_event() -> None:
    assert EventSequence(NUMBERED, resume_after="").advance(event(1)) is None
    assert EventSequence(NUMBERED, resume_after="").advance(event(4)) is not None
    assert EventSequence(NUMBERED, resume_after="").finish() is not None


def test_a_resumed_stream_begins_behind_the_callers_last_event() -> None:
    assert sequence_after(7).advance(event(8)) is None
    for number in (1, 7, 9):
        assert sequence_after(7).advance(event(number)) is not None


def test_behind_an_id_that_is_no_number_any_number_may_follow() -> None:
    sequence = EventSequence(NUMBERED, resume_after="seven")
    assert sequence.advance(event(8)) is None
    assert sequence.advance(event(10)) is not None


@pytest.mark.parametrize("versions", [(7, 6), (7, 7), (7, 10**17), (7, 0)])
def test_a_version_within_a_stream_may_be_any_number(versions: tuple[int, int]) -> None:
    """No page says that it grows, and it is passed on as the upstream sent it."""
    sequence = EventSequence(NUMBERED)
    for number, version in enumerate(versions, start=1):
        block = b"weights: %d\n%b" % (version, event(number))
        assert sequence.advance(block) is None


@pytest.mark.parametrize(
    "version",
    ["-1", "", "1.5", "1_000", "\u0663", "NaN", "1e400", "07", str(10**18), "9" * 400],
)
def test_a_version_within_a_stream_has_at_most_18_plain_digits(version: str) -> None:
    block = f"weights: {version}\nid: 1\ndata: a\n\n".encode()
    spoilt = EventSequence(NUMBERED).advance(block)
    assert spoilt is not None
    assert spoilt.fault is EventFault.MALFORMED


@pytest.mark.parametrize(
    "last", ["x", "-1", "1.0", "07", "\u0663", str(2**63), "9" * 400]
)
def test_behind_an_id_that_is_no_number_any_event_may_be_first(last: str) -> None:
    for first in (1, 7, 10**17):
        sequence = EventSequence(NUMBERED, resume_after=last)
        assert sequence.advance(event(first)) is None
        assert sequence.advance(event(first)) is not None
        assert sequence.advance(event(first + 1)) is None


def test_no_event_follows_the_largest_number() -> None:
    sequence = sequence_after(10**18 - 1)
    for number in (0, 1, 10**18 - 1, 10**18, 2**63, 2**64):
        assert sequence.advance(event(number)) is not None
    assert sequence.finish() is None


def test_a_stream_that_begins_has_an_event() -> None:
    empty = EventSequence(NUMBERED)
    assert empty.advance(b": waiting\n\n") is None
    assert empty.finish() == SpoiltEvent(EventFault.NO_EVENT, 1, b"")
    assert sequence_after(7).finish() is None
    assert EventSequence(ANY).finish() is None


def test_streams_without_numbers_pass_where_the_format_has_none() -> None:
    sequence = EventSequence(ANY)
    for block in (b'data: {"a": 1}\n\n', b"event: done\ndata\n\n", b"data: [DONE]\n\n"):
        assert sequence.advance(block) is None
    assert sequence.advance(b"rubbish\n\n") is not None


@pytest.mark.parametrize("first", [0, 1])
def test_a_stream_that_counts_from_its_first_event_counts_all(first: int) -> None:
    for spoilt in (b"data: a\n\n", event(first + 2), event(first)):
        sequence = EventSequence(ANY)
        assert sequence.advance(event(first)) is None
        assert sequence.advance(spoilt) is not None
        assert sequence.advance(event(first + 1)) is None


def test_ids_that_count_nothing_may_be_any() -> None:
    for ids in ((1733, 1790), (7, 7), (9, 3)):
        sequence = EventSequence(ANY)
        assert [sequence.advance(event(one)) for one in ids] == [None, None]
        assert sequence.advance(b"event: ping\ndata: a\n\n") is None


def test_a_resumed_stream_is_numbered_though_its_format_needs_no_numbers() -> None:
    for spoilt in (b"data: a\n\n", event(4), event(6)):
        assert EventSequence(ANY, resume_after="4").advance(spoilt) is not None
    assert EventSequence(ANY, resume_after="4").advance(event(5)) is None


def test_data_of_several_lines_is_joined_by_line_ends() -> None:
    sequence = EventSequence(EventFormat(closing="[DONE]"))
    assert sequence.advance(b'data: {"a":\ndata: 1}\n\n') is None
    assert sequence.advance(b"data: [DO\ndata: NE]\n\n") is not None
    assert not sequence.is_closed


def test_the_closing_event_is_held_back_and_nothing_follows_it() -> None:
    reader = EventReader(EventSequence(EventFormat(closing="[DONE]")))
    assert reader.feed(b'data: {"a": 1}\n\ndata: [DONE]\n\n') == [
        b'data: {"a": 1}\n\n',
        b"",
    ]
    assert reader.closing == b"data: [DONE]\n\n"
    assert reader.feed(b": waiting\n\n") == [b""]
    assert reader.closing == b"data: [DONE]\n\n: waiting\n\n"
    assert reader.feed(b'data: {"a": 2}\n\n') == []
    assert reader.spoilt is not None
    assert reader.spoilt.fault is EventFault.AFTER_END


def test_comments_behind_the_closing_event_are_not_held_without_bound() -> None:
    reader = EventReader(EventSequence(EventFormat(closing="[DONE]")))
    reader.feed(b"data: [DONE]\n\n")
    with pytest.raises(EventTooLongError):
        for _ in range(MAX_EVENT_SIZE // 100):
            reader.feed(b": %b\n\n" % (b"x" * 100))


@pytest.mark.parametrize("data", [b"none", b'{"a": 1', b'"a"', b"[1]", b"", b"{}{}"])
def test_data_that_is_no_json_object_is_spoilt_where_events_hold_such(
    data: bytes,
) -> None:
    sequence = EventSequence(EventFormat(closing="[DONE]"))
    spoilt = sequence.advance(b"data: %b\n\n" % data)
    assert spoilt is not None
    assert spoilt.fault is EventFault.INVALID_DATA


@pytest.mark.parametrize("data", [rb'{"text": "\ud83d"}', b'{"logprob": NaN}'])
def test_objects_that_json_libraries_write_and_read_are_sound(data: bytes) -> None:
    sequence = EventSequence(EventFormat(closing="[DONE]"))
    assert sequence.advance(b"data: %b\n\n" % data) is None


def test_data_that_is_nested_too_deeply_is_spoilt_and_raises_no_error() -> None:
    sequence = EventSequence(EventFormat(closing="[DONE]"))
    spoilt = sequence.advance(b'data: {"a": %b\n\n' % (b"[" * 100_000))
    assert spoilt is not None
    assert spoilt.fault is EventFault.INVALID_DATA


def test_sound_events_ahead_of_a_spoilt_one_are_returned_and_none_behind_it() -> None:
    reader = EventReader(EventSequence(NUMBERED))
    assert reader.feed(event(1) + event(2) + b"data: x\n\n" + event(3)) == [
        event(1),
        event(2),
    ]
    assert reader.spoilt == SpoiltEvent(EventFault.NO_ID, 3, b"data: x\n\n")
    assert reader.last_id == "2"
    assert reader.feed(event(3)) == []


@settings(derandomize=True, max_examples=500, deadline=None)
@example(MARK, 0, [])
@example(MARK + b": waiting", 0, [2])
@example(MARK, 1, [])
@given(
    st.binary(max_size=40),
    st.integers(0, 3),
    st.lists(st.integers(1, 200), max_size=6),
)
def test_rubbish_between_events_never_passes_as_an_event(
    rubbish: bytes, place: int, cuts: list[int]
) -> None:
    sound = [event(number) for number in range(1, 5)]
    stream = b"".join(sound[:place]) + rubbish + b"\n\n" + b"".join(sound[place:])
    reader = EventReader(EventSequence(NUMBERED))
    passed = []
    start = 0
    for cut in [*cuts, len(stream)]:
        passed += reader.feed(stream[start : start + cut])
        start += cut
    # At the beginning of a stream a byte order mark is sound, and belongs to no event.
    passed[:1] = [block.removeprefix(MARK) for block in passed[:1]]
    events = [fields for block in passed if (fields := fields_of(block))]
    assert events == [fields_of(one) for one in sound[: len(events)]]
