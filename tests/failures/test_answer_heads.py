"""What callers get of answers with a spoilt head or framing, on both paths."""

from __future__ import annotations

from dataclasses import dataclass

import pytest

from leadseam.control.routes import ReplyForm
from tools.answering import (
    BROKEN,
    CUT,
    DECLINED,
    Received,
    fetch_through_entry,
    fetch_through_sidecar,
)
from tools.raw_upstream import RawUpstream

PLAIN = b"plain"
FIRST = b"id: 1\ndata: a\n\n"
EVENTS = FIRST + b"id: 2\ndata: b\n\n"
ID = b"Leadseam-Request-Id: r-1"
OTHER_ID = b"Leadseam-Request-Id: r-2"
SIGNATURE = b"Leadseam-Response-Signature: s"
NOT_RUN = b"Leadseam-Not-Executed: 1"
STREAM = b"Content-Type: text/event-stream"
JSON = b"Content-Type: application/json"
CHUNKED = b"Transfer-Encoding: chunked"
LENGTH = b"Content-Length: 5"
GZIP = b"Content-Encoding: gzip"
LAST_CHUNK = b"0\r\n\r\n"


def encode(
    *headers: bytes,
    body: bytes = PLAIN,
    status: bytes = b"200 OK",
    own: tuple[bytes, ...] = (ID, SIGNATURE),
) -> bytes:
    """Return the bytes of an answer."""
    lines = [b"HTTP/1.1 " + status, *own, *headers]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def chunk(data: bytes) -> bytes:
    """Return a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def stream(*headers: bytes, body: bytes = EVENTS) -> bytes:
    """Return the bytes of an answer with events in chunks."""
    return encode(STREAM, CHUNKED, *headers, body=chunk(body) + LAST_CHUNK)


WHOLE = encode(LENGTH)
OTHER = encode(LENGTH, own=(OTHER_ID, SIGNATURE))
GOOD = Received(200, PLAIN)
GOOD_EVENTS = Received(200, EVENTS)
FAILED = Received(BROKEN)
OTHER_REQUEST = Received(BROKEN, fault="other_request")
UNSIGNED = Received(BROKEN, fault="unsigned")
ENCODED = Received(BROKEN, fault="encoded")
NO_EVENTS = Received(BROKEN, fault="no_events")
INVALID_STATUS = Received(BROKEN, fault="invalid_status")
MALFORMED = Received(BROKEN, fault="malformed")
UNREADABLE = Received(BROKEN, fault="unreadable")


@dataclass(frozen=True, slots=True)
class Case:
    """One answer, and what the caller has to get of it.

    Args:
        name: What is spoilt.
        answer: Bytes that the upstream sends before it closes the connection.
        entry: What a caller gets through an entry.
        sidecar: What a sidecar passes on.
        reply: Form of answers that the entry's route is due.
    """

    name: str
    answer: bytes
    entry: Received
    sidecar: Received
    reply: ReplyForm = ReplyForm.WHOLE


def events_case(
    name: str, answer: bytes, entry: Received, sidecar: Received = GOOD_EVENTS
) -> Case:
    """Return a case of a route that is due events."""
    return Case(name, answer, entry, sidecar, ReplyForm.EVENTS)


def status_case(status: bytes) -> Case:
    """Return a case of a status that no final answer has."""
    name = "status " + status.decode()
    return Case(name, encode(LENGTH, status=status), INVALID_STATUS, FAILED)


INSIDE = Received(200, PLAIN + OTHER)
HEADS = [
    Case("sound", WHOLE, GOOD, GOOD),
    events_case("sound events", stream(), GOOD_EVENTS),
    Case("own id and another", encode(OTHER_ID, LENGTH), OTHER_REQUEST, GOOD),
    Case(
        "another id and own",
        encode(LENGTH, own=(OTHER_ID, ID, SIGNATURE)),
        OTHER_REQUEST,
        GOOD,
    ),
    Case("own id twice", encode(ID, LENGTH), GOOD, GOOD),
    Case("another id", OTHER, OTHER_REQUEST, GOOD),
    Case("no id", encode(LENGTH, own=(SIGNATURE,)), OTHER_REQUEST, GOOD),
    Case(
        "not run, own id and another",
        encode(OTHER_ID, NOT_RUN, LENGTH, status=b"503 Full"),
        OTHER_REQUEST,
        Received(503, PLAIN),
    ),
    Case("not run", encode(NOT_RUN, LENGTH), Received(DECLINED), GOOD),
    Case(
        "two signatures",
        encode(b"Leadseam-Response-Signature: t", LENGTH),
        UNSIGNED,
        GOOD,
    ),
    Case("signature twice", encode(SIGNATURE, LENGTH), GOOD, GOOD),
    Case(
        "empty signature",
        encode(LENGTH, own=(ID, b"Leadseam-Response-Signature: ")),
        UNSIGNED,
        GOOD,
    ),
    Case("no signature", encode(LENGTH, own=(ID,)), UNSIGNED, GOOD),
    Case("content encoding", encode(GZIP, LENGTH), ENCODED, GOOD),
    Case(
        "content encoding of a failure",
        encode(GZIP, LENGTH, status=b"500 Failed"),
        ENCODED,
        Received(500, PLAIN),
    ),
    events_case("content encoding of events", stream(GZIP), ENCODED),
    events_case(
        "events due, plain body", encode(STREAM, LENGTH), FAILED, Received(CUT)
    ),
    events_case(
        "events due, plain type",
        encode(JSON, CHUNKED, body=chunk(EVENTS) + LAST_CHUNK),
        NO_EVENTS,
    ),
    events_case(
        "events due, a longer type",
        encode(b"Content-Type: text/event-streams", CHUNKED, body=chunk(EVENTS))
        + LAST_CHUNK,
        NO_EVENTS,
    ),
    events_case("events due, two types", stream(JSON), UNREADABLE, FAILED),
    events_case(
        "events due, type in upper case",
        encode(b"Content-Type: TEXT/Event-Stream", CHUNKED, body=chunk(EVENTS))
        + LAST_CHUNK,
        GOOD_EVENTS,
    ),
    Case("header without a colon", encode(b"colon", LENGTH), UNREADABLE, FAILED),
    Case("header without a name", encode(b": x", LENGTH), UNREADABLE, FAILED),
    Case("space in a name", encode(b"X Y: x", LENGTH), UNREADABLE, FAILED),
    Case(
        "space behind a name",
        encode(b"Transfer-Encoding : chunked", body=chunk(PLAIN) + LAST_CHUNK),
        UNREADABLE,
        FAILED,
    ),
    Case("folded header", encode(b"X: a\r\n b", LENGTH), UNREADABLE, FAILED),
    Case("NUL in a value", encode(b"X: a\0", LENGTH), UNREADABLE, FAILED),
    Case("escape in a value", encode(b"X: a\x1b[0m", LENGTH), UNREADABLE, FAILED),
    Case("value that is not UTF-8", encode(b"X: \xe9", LENGTH), MALFORMED, FAILED),
    Case(
        "too many headers",
        encode(*(b"X-%d: x" % number for number in range(200)), LENGTH),
        UNREADABLE,
        FAILED,
    ),
    status_case(b"000 None"),
    status_case(b"099 Low"),
    status_case(b"101 Switching"),
    status_case(b"600 High"),
    status_case(b"999 High"),
    Case("status 99", encode(LENGTH, status=b"99 Low"), UNREADABLE, FAILED),
    Case("status 1000", encode(LENGTH, status=b"1000 High"), UNREADABLE, FAILED),
    Case("no status", encode(LENGTH, status=b""), UNREADABLE, FAILED),
    Case("rubbish ahead", b"rubbish\r\n" + WHOLE, UNREADABLE, FAILED),
    Case("empty line ahead", b"\r\n" + WHOLE, GOOD, GOOD),
    Case("no answer", b"", FAILED, FAILED),
    Case("no HTTP", b"SSH-2.0-x\r\n", UNREADABLE, FAILED),
]
FRAMINGS = [
    Case(
        "second answer in the length",
        encode(b"Content-Length: %d" % len(PLAIN + OTHER), body=PLAIN + OTHER),
        INSIDE,
        INSIDE,
    ),
    Case(
        "second answer in a chunk",
        encode(CHUNKED, body=chunk(PLAIN + OTHER) + LAST_CHUNK),
        INSIDE,
        INSIDE,
    ),
    Case("second answer behind", WHOLE + OTHER, GOOD, GOOD),
    events_case(
        "second answer between events",
        stream(body=FIRST + OTHER + EVENTS),
        Received(CUT, FIRST),
        Received(CUT, FIRST),
    ),
    events_case(
        "second answer ahead of events",
        stream(body=OTHER + EVENTS),
        FAILED,
        Received(CUT),
    ),
    Case(
        "length beyond the body",
        encode(b"Content-Length: 9"),
        FAILED,
        Received(CUT, PLAIN),
    ),
    events_case(
        "length beyond the events",
        encode(STREAM, b"Content-Length: 99", body=EVENTS),
        Received(CUT, EVENTS),
        Received(CUT, EVENTS),
    ),
    Case("two lengths", encode(LENGTH, b"Content-Length: 3"), UNREADABLE, FAILED),
    Case("length twice", encode(LENGTH, LENGTH), UNREADABLE, FAILED),
    Case("list of lengths", encode(b"Content-Length: 5, 5"), UNREADABLE, FAILED),
    Case("negative length", encode(b"Content-Length: -5"), UNREADABLE, FAILED),
    Case("huge length", encode(b"Content-Length: " + b"9" * 30), UNREADABLE, FAILED),
    Case(
        "length and chunks",
        encode(LENGTH, CHUNKED, body=chunk(PLAIN) + LAST_CHUNK),
        UNREADABLE,
        FAILED,
    ),
    Case(
        "chunks twice",
        encode(CHUNKED, CHUNKED, body=chunk(PLAIN) + LAST_CHUNK),
        UNREADABLE,
        FAILED,
    ),
    Case(
        "transfer coding ahead of chunks",
        encode(b"Transfer-Encoding: gzip, chunked", body=chunk(PLAIN) + LAST_CHUNK),
        ENCODED,
        FAILED,
    ),
    Case(
        "transfer coding behind chunks",
        encode(b"Transfer-Encoding: chunked, gzip", body=chunk(PLAIN) + LAST_CHUNK),
        ENCODED,
        FAILED,
    ),
    Case(
        "unknown transfer coding",
        encode(b"Transfer-Encoding: xchunked", body=chunk(PLAIN) + LAST_CHUNK),
        ENCODED,
        FAILED,
    ),
    Case("no transfer coding", encode(b"Transfer-Encoding: identity"), GOOD, GOOD),
    Case(
        "chunk extension",
        encode(CHUNKED, body=b"5;a=b\r\nplain\r\n0;c\r\n\r\n"),
        GOOD,
        GOOD,
    ),
    Case(
        "trailers",
        encode(CHUNKED, body=chunk(PLAIN) + b"0\r\nX: y\r\n\r\n"),
        GOOD,
        GOOD,
    ),
    Case(
        "signature in a trailer",
        encode(
            CHUNKED,
            body=chunk(PLAIN) + b"0\r\n" + SIGNATURE + b"\r\n\r\n",
            own=(ID,),
        ),
        UNSIGNED,
        GOOD,
    ),
]


@pytest.mark.parametrize("case", [*HEADS, *FRAMINGS], ids=lambda case: case.name)
async def test_what_an_entry_passes_on_of_a_spoilt_answer(case: Case) -> None:
    async with RawUpstream(case.answer) as upstream:
        assert await fetch_through_entry(upstream.port, case.reply) == case.entry


@pytest.mark.parametrize("case", [*HEADS, *FRAMINGS], ids=lambda case: case.name)
async def test_what_a_sidecar_passes_on_of_a_spoilt_answer(case: Case) -> None:
    async with RawUpstream(case.answer) as upstream:
        assert await fetch_through_sidecar(upstream.port) == case.sidecar
