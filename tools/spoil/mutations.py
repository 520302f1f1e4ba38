"""Mutates sound answers: their bodies in a sound frame, and the frames. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.answer_end import Framing

if TYPE_CHECKING:
    import random

MAX_MUTATED_BYTES = 4
"""Most bytes that one mutation changes, drops, doubles or moves."""
MAX_RUBBISH = 90
"""Longest inserted rubbish, in bytes."""
MAX_CUTS = 5
"""Most places at which a body is cut into chunks."""
HUGE_SIZE = 1 << 40
SECOND_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
HEAD_END = b"\r\n\r\n"
CRLF = b"\r\n"


class Mutation(StrEnum):
    """What is changed in an answer.

    The ways from `CHUNK_SIZE` on change the frame, the others the body. `AHEAD` and
    `BEHIND`: rubbish ahead of the head, and behind the end of the answer.
    """

    NONE = "none"
    BYTES_CHANGED = "bytes_changed"
    BYTES_DROPPED = "bytes_dropped"
    BYTES_DOUBLED = "bytes_doubled"
    BYTES_MOVED = "bytes_moved"
    TRUNCATED = "truncated"
    RUBBISH = "rubbish"
    SECOND_ANSWER = "second_answer"
    LINES_SWAPPED = "lines_swapped"
    LINE_DROPPED = "line_dropped"
    LINE_DOUBLED = "line_doubled"
    EVENTS_SWAPPED = "events_swapped"
    EVENT_DROPPED = "event_dropped"
    EVENT_DOUBLED = "event_doubled"
    EVENT_MOVED = "event_moved"
    FOREIGN_EVENT = "foreign_event"
    SECOND_STREAM = "second_stream"
    CHUNK_SIZE = "chunk_size"
    CHUNK_HEAD_DROPPED = "chunk_head_dropped"
    LENGTH = "length"
    TWO_FRAMES = "two_frames"
    HEAD_BYTES = "head_bytes"
    HEAD_LINE_DROPPED = "head_line_dropped"
    HEAD_LINE_DOUBLED = "head_line_doubled"
    AHEAD = "ahead"
    BEHIND = "behind"
    CUT = "cut"


_ALL = list(Mutation)
OF_FRAMES = tuple(_ALL[_ALL.index(Mutation.CHUNK_SIZE) :])
LINE_ENDS = frozenset({Mutation.CHUNK_SIZE, Mutation.HEAD_BYTES})
"""Mutations behind which a frame may have a line that ends with LF alone."""
OF_EVENTS = tuple(
    _ALL[_ALL.index(Mutation.LINES_SWAPPED) : _ALL.index(Mutation.CHUNK_SIZE)]
)
OF_BYTES = tuple(_ALL[1 : _ALL.index(Mutation.LINES_SWAPPED)])


@dataclass(frozen=True, slots=True)
class SoundAnswer:
    """An answer before it is mutated.

    Args:
        head: Status line and header lines, without those that delimit the body.
        blocks: Body; one event each if it is a stream.
        framing: What delimits the body.
        is_stream: Whether it is an event stream.
    """

    head: tuple[bytes, ...]
    blocks: tuple[bytes, ...]
    framing: Framing
    is_stream: bool

    def mutations(self) -> tuple[Mutation, ...]:
        """Return the mutations that apply to it."""
        return OF_BYTES + (OF_EVENTS if self.is_stream else ()) + OF_FRAMES


def mutate(rng: random.Random, answer: SoundAnswer, how: Mutation) -> bytes:
    """Return the bytes of an answer with a mutation.

    Args:
        rng: Source of places and values.
        answer: The sound answer.
        how: The mutation; it may by chance leave the answer as it is.
    """
    if how in OF_FRAMES:
        return _mutate_frame(rng, answer, how)
    blocks = _mutate_body(rng, answer.blocks, how)
    if how is not Mutation.NONE and rng.random() < 0.5:
        blocks = _cut_up(rng, b"".join(blocks))
    return _encode(answer.head, blocks, answer.framing)


def _mutate_body(
    rng: random.Random, blocks: tuple[bytes, ...], how: Mutation
) -> list[bytes]:
    body = b"".join(blocks)
    match how:
        case Mutation.NONE:
            return list(blocks)
        case Mutation.TRUNCATED:
            return [body[: rng.randrange(len(body))]]
        case Mutation.RUBBISH:
            return [_insert(rng, body, _rubbish(rng))]
        case Mutation.SECOND_ANSWER:
            return [_insert(rng, body, SECOND_ANSWER)]
        case Mutation.SECOND_STREAM:
            return _with(list(blocks), rng.randrange(len(blocks) + 1), body)
        case Mutation.FOREIGN_EVENT:
            number = rng.randrange(len(blocks) + 1)
            foreign = b"id: %d\ndata: another run %d\n\n" % (
                number + rng.randrange(3),
                rng.getrandbits(32),
            )
            return _with(list(blocks), number, foreign)
        case _ if how in OF_BYTES:
            return [_mutate_bytes(rng, body, how)]
        case Mutation.LINES_SWAPPED | Mutation.LINE_DROPPED | Mutation.LINE_DOUBLED:
            return _mutate_items(rng, body.splitlines(keepends=True), how)
        case _:
            return _mutate_items(rng, list(blocks), how)


def _mutate_bytes(rng: random.Random, data: bytes, how: Mutation) -> bytes:
    length = rng.randint(1, MAX_MUTATED_BYTES)
    at = rng.randrange(max(1, len(data) - length))
    part, rest = data[at : at + length], data[:at] + data[at + length :]
    match how:
        case Mutation.BYTES_CHANGED:
            return data[:at] + _other_bytes(rng, len(part)) + data[at + length :]
        case Mutation.BYTES_DROPPED:
            return rest
        case Mutation.BYTES_DOUBLED:
            return data[:at] + part + data[at:]
        case _:
            return _insert(rng, rest, part)


def _mutate_items(rng: random.Random, items: list[bytes], how: Mutation) -> list[bytes]:
    at, to = rng.randrange(len(items)), rng.randrange(len(items))
    match how:
        case Mutation.LINES_SWAPPED | Mutation.EVENTS_SWAPPED:
            items[at], items[to] = items[to], items[at]
        case Mutation.LINE_DROPPED | Mutation.EVENT_DROPPED:
            del items[at]
        case Mutation.LINE_DOUBLED | Mutation.EVENT_DOUBLED:
            items.insert(at, items[at])
        case _:
            items.insert(to, items.pop(at))
    return items


def _mutate_frame(rng: random.Random, answer: SoundAnswer, how: Mutation) -> bytes:
    head, blocks, framing = list(answer.head), answer.blocks, answer.framing
    body = b"".join(blocks)
    match how:
        case Mutation.CHUNK_SIZE | Mutation.CHUNK_HEAD_DROPPED:
            chunks = [_encode_chunk(block) for block in [*blocks, b""]]
            at = rng.randrange(len(chunks))
            size, _, rest = chunks[at].partition(CRLF)
            if how is Mutation.CHUNK_SIZE:
                chunks[at] = _other_size(rng, int(size, 16), "x") + CRLF + rest
            else:
                chunks[at] = rest
            return _with_head([*head, b"Transfer-Encoding: chunked"], b"".join(chunks))
        case Mutation.LENGTH:
            length = _other_size(rng, len(body), "d")
            return _with_head([*head, b"Content-Length: " + length], body)
        case Mutation.TWO_FRAMES:
            other = _other_size(rng, len(body), "d")
            head.insert(rng.randint(1, len(head)), b"Content-Length: " + other)
            return _encode(tuple(head), blocks, framing)
    whole = _encode(tuple(head), blocks, framing)
    lines, end, rest = whole.partition(HEAD_END)
    match how:
        case Mutation.HEAD_BYTES:
            ways = (
                Mutation.BYTES_CHANGED,
                Mutation.BYTES_DROPPED,
                Mutation.BYTES_DOUBLED,
                Mutation.BYTES_MOVED,
            )
            return _mutate_bytes(rng, lines, rng.choice(ways)) + end + rest
        case Mutation.HEAD_LINE_DROPPED | Mutation.HEAD_LINE_DOUBLED:
            way = Mutation.LINE_DROPPED
            if how is Mutation.HEAD_LINE_DOUBLED:
                way = Mutation.LINE_DOUBLED
            return CRLF.join(_mutate_items(rng, lines.split(CRLF), way)) + end + rest
        case Mutation.AHEAD:
            return _rubbish(rng) + whole
        case Mutation.BEHIND:
            return whole + rng.choice([_rubbish(rng), SECOND_ANSWER, whole])
        case _:
            return whole[: rng.randrange(len(whole))]


def _encode(
    head: tuple[bytes, ...], blocks: tuple[bytes, ...] | list[bytes], framing: Framing
) -> bytes:
    body = b"".join(blocks)
    match framing:
        case Framing.CHUNKS:
            chunks = [_encode_chunk(block) for block in blocks if block]
            encoded = b"".join([*chunks, _encode_chunk(b"")])
            return _with_head([*head, b"Transfer-Encoding: chunked"], encoded)
        case Framing.LENGTH:
            return _with_head([*head, b"Content-Length: %d" % len(body)], body)
        case Framing.CONNECTION:
            return _with_head([*head], body)


def _with_head(lines: list[bytes], body: bytes) -> bytes:
    return CRLF.join(lines) + HEAD_END + body


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _other_size(rng: random.Random, size: int, base: str) -> bytes:
    near = size + rng.choice([-3, -2, -1, 1, 2, 3])
    other = rng.choice([format(near, base), format(HUGE_SIZE, base), "0", "zz", ""])
    return other.encode()


def _cut_up(rng: random.Random, body: bytes) -> list[bytes]:
    cuts = sorted(rng.randrange(len(body) + 1) for _ in range(rng.randint(0, MAX_CUTS)))
    return [
        body[start:end] for start, end in zip([0, *cuts], [*cuts, None], strict=True)
    ]


def _insert(rng: random.Random, data: bytes, part: bytes) -> bytes:
    at = rng.randrange(len(data) + 1)
    return data[:at] + part + data[at:]


def _with(items: list[bytes], at: int, item: bytes) -> list[bytes]:
    return [*items[:at], item, *items[at:]]


def _rubbish(rng: random.Random) -> bytes:
    data = rng.randbytes(rng.randint(1, MAX_RUBBISH))
    return data + rng.choice([b"", b"\n", b"\n\n", b"\r\n\r\n"])


def _other_bytes(rng: random.Random, length: int) -> bytes:
    if rng.random() < 0.5:
        return rng.randbytes(length)
    return bytes(rng.choice(b"0123456789:\r\n idat") for _ in range(length))
