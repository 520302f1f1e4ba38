"""Event streams that hold bytes which their run has not made, in a sound frame."""

from __future__ import annotations

from enum import StrEnum

EVENT_END = b"\n\n"
RUBBISH = bytes(range(128, 218))
"""Bytes that are no UTF-8 and hold no end of a line."""


class Spoil(StrEnum):
    """What stands in the middle of a stream.

    A way that ends with `_END` ends the stream behind it, the others go on. `NONE`: the
    stream is sound. `GLUED`: a line of rubbish ahead of a sound event. `LEFT_OUT`: an
    event is missing. `SWAPPED`: two events have changed places. `BEGINS_ANEW`: the
    whole stream once more. `NO_EVENTS`: the stream is empty.
    """

    NONE = "none"
    RUBBISH = "rubbish"
    RUBBISH_END = "rubbish_end"
    RUBBISH_FIRST = "rubbish_first"
    GLUED = "glued"
    NO_ID = "no_id"
    NO_ID_END = "no_id_end"
    EMPTY_ID = "empty_id"
    WORD_ID = "word_id"
    NEGATIVE_ID = "negative_id"
    NUL_ID = "nul_id"
    TWO_IDS = "two_ids"
    HUGE_ID = "huge_id"
    EARLIER = "earlier"
    EARLIER_END = "earlier_end"
    REPEATED = "repeated"
    LEFT_OUT = "left_out"
    SWAPPED = "swapped"
    BEGINS_ANEW = "begins_anew"
    SECOND_ANSWER = "second_answer"
    NO_EVENTS = "no_events"


_BLOCKS = {
    Spoil.RUBBISH: RUBBISH + EVENT_END,
    Spoil.RUBBISH_END: RUBBISH + EVENT_END,
    Spoil.RUBBISH_FIRST: RUBBISH + EVENT_END,
    Spoil.GLUED: RUBBISH + b"\n",
    Spoil.NO_ID: b"data: none\n\n",
    Spoil.NO_ID_END: b"data: none\n\n",
    Spoil.EMPTY_ID: b"id:\ndata: none\n\n",
    Spoil.WORD_ID: b"id: three\ndata: none\n\n",
    Spoil.NEGATIVE_ID: b"id: -3\ndata: none\n\n",
    Spoil.NUL_ID: b"id: 3\x00\ndata: none\n\n",
    Spoil.TWO_IDS: b"id: 3\nid: 1\ndata: none\n\n",
    Spoil.HUGE_ID: b"id: 9223372036854775807\ndata: none\n\n",
    Spoil.SECOND_ANSWER: b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
}


def spoil_stream(stream: bytes, way: Spoil) -> bytes:
    """Return a stream of three events or more, spoilt in the middle.

    Args:
        stream: The sound stream, with lines that end with LF.
        way: How to spoil it.
    """
    events = [one + EVENT_END for one in stream.split(EVENT_END)[:-1]]
    middle = len(events) // 2
    head, tail = events[:middle], events[middle:]
    match way:
        case Spoil.NONE:
            spoilt = events
        case Spoil.RUBBISH_FIRST:
            spoilt = [_BLOCKS[way], *events]
        case Spoil.EARLIER:
            spoilt = [*head, events[0], *tail]
        case Spoil.EARLIER_END:
            spoilt = [*head, events[0]]
        case Spoil.REPEATED:
            spoilt = [*head, head[-1], *tail]
        case Spoil.LEFT_OUT:
            spoilt = [*head, *tail[1:]]
        case Spoil.SWAPPED:
            spoilt = [*head[:-1], tail[0], head[-1], *tail[1:]]
        case Spoil.BEGINS_ANEW:
            spoilt = [*head, *events]
        case Spoil.NO_EVENTS:
            spoilt = []
        case Spoil.RUBBISH_END | Spoil.NO_ID_END:
            spoilt = [*head, _BLOCKS[way]]
        case _:
            spoilt = [*head, _BLOCKS[way], *tail]
    return b"".join(spoilt)
