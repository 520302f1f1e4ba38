"""Ways in which clients send requests that are large, or made to cost memory."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

BODY_BYTES = 4 * 1024 * 1024
HEADER_BYTES = 16_384
PIECE = 65_536
CHUNK = 1024 * 1024
TINY_CHUNK = 16
CHUNKS_OF_A_PIECE = 4_096
PIPELINED = 40
PIPELINED_BYTES = 100_000
TRAILERS = 100_000
CLOSE = b"Connection: close\r\n"
CHUNKED = "Transfer-Encoding: chunked"


@dataclass(frozen=True)
class Way:
    """A way to send a request.

    Args:
        members: Size of the crowd.
        pieces: Returns the pieces of a request whose head begins with some lines; the
            last one is what the unfinished requests lack.
        pause: Seconds between two members that send a piece.
    """

    members: int
    pieces: Callable[[Sequence[str]], list[bytes]]
    pause: float = 0.0


def _head(start: Sequence[str], *headers: str) -> bytes:
    """Return a head that begins with some lines."""
    return "\r\n".join([*start, *headers, "", ""]).encode()


def large_body(start: Sequence[str]) -> list[bytes]:
    """Return a body of the largest size, in one piece."""
    first = _head(start, f"Content-Length: {BODY_BYTES}")
    return [first + bytes(BODY_BYTES - 1), b"\0"]


def large_body_in_pieces(start: Sequence[str]) -> list[bytes]:
    """Return a body of the largest size, in small pieces."""
    first = _head(start, f"Content-Length: {BODY_BYTES}")
    count = BODY_BYTES // PIECE
    return [first, *[bytes(PIECE)] * (count - 1), bytes(PIECE - 1), b"\0"]


def large_chunks(start: Sequence[str]) -> list[bytes]:
    """Return a body of the largest size, in large chunks."""
    chunk = b"%x\r\n%b\r\n" % (CHUNK, bytes(CHUNK))
    count = BODY_BYTES // CHUNK
    return [_head(start, CHUNKED), *[chunk] * count, b"0\r\n\r\n"]


def tiny_chunks(start: Sequence[str]) -> list[bytes]:
    """Return a body of half the largest size, in chunks of a few bytes."""
    piece = (b"%x\r\n%b\r\n" % (TINY_CHUNK, bytes(TINY_CHUNK))) * CHUNKS_OF_A_PIECE
    count = BODY_BYTES // 2 // (TINY_CHUNK * CHUNKS_OF_A_PIECE)
    return [_head(start, CHUNKED), *[piece] * count, b"0\r\n\r\n"]


def _head_of_lines(start: Sequence[str], line: Callable[[int], bytes]) -> bytes:
    """Return a head of the largest size that most lines of are made by a function."""
    first = _head(start, "Content-Length: 1")[:-2]
    lines: list[bytes] = []
    left = HEADER_BYTES - len(first) - len(CLOSE) - 2
    while (next_line := line(len(lines))) and len(next_line) <= left:
        lines.append(next_line)
        left -= len(next_line)
    return first + b"".join(lines) + b"\r\n"


def short_lines(start: Sequence[str]) -> list[bytes]:
    """Return a request whose head has as many lines as fit."""
    return [_head_of_lines(start, lambda _: b"a:\r\n"), b"x"]


def odd_lines(start: Sequence[str]) -> list[bytes]:
    """Return a request whose head has distinct names, and bytes that are no text."""

    def line(number: int) -> bytes:
        name = bytes([97 + number % 26, 97 + number // 26 % 26, 97 + number // 676])
        return b"!%b:\t\xff\r\n" % name

    return [_head_of_lines(start, line), b"x"]


def unfinished_head(start: Sequence[str]) -> list[bytes]:
    """Return a head of as many lines as fit, whose end comes by itself."""
    whole = _head_of_lines(start, lambda _: b"a:\r\n")
    return [whole[:-1], whole[-1:] + b"x"]


def first_byte(start: Sequence[str]) -> list[bytes]:
    """Return a request of which the first byte comes by itself."""
    first = _head(start, "Content-Length: 0")
    return [first[:1], first[1:]]


def _numbered(start: Sequence[str], number: int) -> list[str]:
    """Return the first lines of one of several requests of a connection."""
    return [line.replace("crowd-", f"crowd-{number}-") for line in start]


def pipelined_heads(start: Sequence[str]) -> list[bytes]:
    """Return many requests with as many lines as fit, sent without an answer."""
    requests = [
        b"".join(short_lines(_numbered(start, number))) for number in range(PIPELINED)
    ]
    return [b"".join(requests), b""]


def pipelined_bodies(start: Sequence[str]) -> list[bytes]:
    """Return many requests with bodies, sent without an answer."""
    length = f"Content-Length: {PIPELINED_BYTES}"
    requests = [
        _head(_numbered(start, number), length) + bytes(PIPELINED_BYTES)
        for number in range(PIPELINED)
    ]
    return [b"".join(requests), b""]


def trailers(start: Sequence[str]) -> list[bytes]:
    """Return a body that is followed by very many lines."""
    return [_head(start, CHUNKED) + b"1\r\nx\r\n0\r\n" + b"a:\r\n" * TRAILERS, b""]


WAYS = {
    "large bodies": Way(40, large_body),
    "large bodies in pieces": Way(40, large_body_in_pieces),
    "large chunks": Way(40, large_chunks),
    "tiny chunks": Way(40, tiny_chunks, pause=0.005),
    "short header lines": Way(128, short_lines, pause=0.03),
    "odd header lines": Way(128, odd_lines, pause=0.03),
    "unfinished heads": Way(128, unfinished_head, pause=0.01),
    "open connections": Way(256, first_byte),
}
CROWDED_WAYS = {
    **WAYS,
    "pipelined heads": Way(120, pipelined_heads),
    "pipelined bodies": Way(60, pipelined_bodies),
    "trailers": Way(120, trailers),
}
"""With those that are only sent to do harm, and may be refused always."""


def close_after(request: bytes) -> bytes:
    """Return a request that asks to close its connection after the response."""
    return request.replace(b"\r\n", b"\r\n" + CLOSE, 1)
