"""Bytes without end that a faulty upstream sends in place of an answer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

BLOCK_SIZE = 65_536
_OK = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class Endless(StrEnum):
    """Where the bytes without end are."""

    BLANK_LINES = "endless-blank-lines"
    STATUS = "endless-status"
    HEADER = "endless-header"
    HEADERS = "endless-headers"
    INFORMATIONAL = "endless-informational"
    CHUNK_SIZE = "endless-chunk-size"
    CHUNK_EXTENSION = "endless-chunk-extension"
    TRAILERS = "endless-trailers"
    EVENT = "endless-event"
    COMMENTS = "endless-comments"
    DECLINED = "endless-declined"


@dataclass(frozen=True, slots=True)
class EndlessAnswer:
    """What an upstream sends: a start, and a block that it repeats until it is cut.

    Args:
        start: Bytes before the first block.
        block: Bytes that are repeated.
    """

    start: bytes
    block: bytes


def endless_answer(kind: Endless, headers: dict[str, str]) -> EndlessAnswer:
    """Return the bytes of an answer without end.

    Args:
        kind: Where it has no end.
        headers: Headers of the answer, in the kinds that have complete headers.
    """
    head = b"".join(f"{name}: {value}\r\n".encode() for name, value in headers.items())
    match kind:
        case Endless.BLANK_LINES:
            return EndlessAnswer(b"", _repeat(b"\r\n"))
        case Endless.STATUS:
            return EndlessAnswer(b"HTTP/1.1 200 ", _repeat(b"O"))
        case Endless.HEADER:
            return EndlessAnswer(_OK + b"X-Note: ", _repeat(b"a"))
        case Endless.HEADERS:
            return EndlessAnswer(_OK, _repeat(b"X-Note: a\r\n"))
        case Endless.INFORMATIONAL:
            return EndlessAnswer(b"", _repeat(b"HTTP/1.1 102 Processing\r\n\r\n"))
        case Endless.CHUNK_SIZE:
            return EndlessAnswer(_OK + head + _CHUNKED, _repeat(b"0"))
        case Endless.CHUNK_EXTENSION:
            return EndlessAnswer(_OK + head + _CHUNKED + b"1;", _repeat(b"a"))
        case Endless.TRAILERS:
            start = _OK + head + _CHUNKED + b"1\r\na\r\n0\r\n"
            return EndlessAnswer(start, _repeat(b"X-Note: a\r\n"))
        case Endless.EVENT:
            return EndlessAnswer(_OK + head + _CHUNKED, _chunk(_repeat(b"a")))
        case Endless.COMMENTS:
            return EndlessAnswer(_OK + head + _CHUNKED, _chunk(_repeat(b": wait\n")))
        case Endless.DECLINED:
            status = b"HTTP/1.1 503 Service Unavailable\r\n"
            return EndlessAnswer(status + head + _CHUNKED, _chunk(_repeat(b"a")))


def _repeat(data: bytes) -> bytes:
    return data * (BLOCK_SIZE // len(data))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)
