"""Answers of stand-in servers that are mutated by a seed."""

from __future__ import annotations

import asyncio
import random
import zlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web

from leadseam.answer_end import Framing
from leadseam.platform import names
from tools.spoil.judge import COUNTER, Judge, Made
from tools.spoil.mutations import OF_FRAMES, Mutation, SoundAnswer, mutate

if TYPE_CHECKING:
    from aiohttp.abc import AbstractStreamWriter

EVENTS = 12
"""Number of events of a whole stream."""
MAX_WRITES = 6
"""Most parts in which an answer is written."""
KEPT_FRACTION = 0.8
"""Fraction of answers behind which the connection stays open, where it may."""
PLAIN_WORDS = 6
"""Words of a plain body."""


@dataclass
class Spoiler:
    """Makes answers, mutates some, and tells the judge what it made.

    Args:
        judge: Judge of what callers get.
        seed: Seed; what happens to a request depends on it and on the request's id.
        prefix: Start of the ids of the requests that it answers.
        mutations: Mutations that it may make.
        first_fraction: Fraction of first attempts whose answers it mutates.
        later_fraction: Fraction of later attempts.
        delay: Seconds between two writes.
        counts: Whether some events have a field besides those of the standard.
    """

    judge: Judge
    seed: int
    prefix: str
    mutations: frozenset[Mutation] = frozenset(Mutation)
    first_fraction: float = 0.8
    later_fraction: float = 0.2
    delay: float = 0.0
    counts: bool = True

    def answers(self, request_id: str) -> bool:
        """Return whether it answers a request."""
        return request_id.startswith(self.prefix)

    def answer(
        self, http: web.BaseRequest, headers: dict[str, str], *, lost: bool = False
    ) -> tuple[web.StreamResponse, Mutation]:
        """Return the answer to a request, and how it is mutated.

        Args:
            http: The request.
            headers: Headers of a sound answer, without those that delimit the body.
            lost: Whether the answer is cut at some place.
        """
        request_id = http.headers[names.REQUEST_ID]
        attempt = len(self.judge.made[request_id])
        rng = random.Random(f"{self.seed} {request_id} {attempt}")
        run = f"{request_id}/{attempt}"
        sound, first = _sound_answer(rng, http, headers, run, counts=self.counts)
        fraction = self.later_fraction if attempt else self.first_fraction
        how = Mutation.CUT if lost else Mutation.NONE
        if not lost and sound.blocks and rng.random() < fraction:
            how = rng.choice([m for m in sound.mutations() if m in self.mutations])
        sent = mutate(rng, sound, how)
        self.judge.made[request_id].append(Made(first, sound.blocks, sent, how))
        may_stay = how not in OF_FRAMES or how is Mutation.BEHIND
        may_stay = may_stay and sound.framing is not Framing.CONNECTION
        stays = may_stay and rng.random() < KEPT_FRACTION
        return RawAnswer(_cut(rng, sent), self.delay, stays=stays), how


class RawAnswer(web.StreamResponse):
    """Bytes that are written as they are.

    Args:
        parts: The bytes, in the parts in which they are written.
        delay: Seconds between two parts.
        stays: Whether the connection stays open.
    """

    def __init__(self, parts: list[bytes], delay: float, *, stays: bool) -> None:
        super().__init__()
        self._parts = parts
        self._delay = delay
        self._keep_alive = stays

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Write all parts."""
        for part in self._parts:
            transport = request.transport
            if transport is None or transport.is_closing():
                self._keep_alive = False
                return None
            transport.write(part)
            await asyncio.sleep(self._delay)
        return None

    async def write_eof(self, data: bytes = b"") -> None:
        """Do nothing: all bytes are written."""


def _sound_answer(
    rng: random.Random,
    http: web.BaseRequest,
    headers: dict[str, str],
    run: str,
    *,
    counts: bool,
) -> tuple[SoundAnswer, int]:
    """Return an answer, and the number of its first event."""
    is_stream = "stream" in http.path
    if is_stream:
        first = int(http.headers.get(names.LAST_EVENT, "0")) + 1
        numbers = range(first, EVENTS + 1)
        version = b"%s: %d\n" % (COUNTER.encode(), rng.randrange(1, 9))
        blocks = [_event(run, number) for number in numbers]
        if blocks and rng.random() < 0.3 and counts:
            blocks[0] = version + blocks[0]
        framing = rng.choice([Framing.CHUNKS, Framing.CHUNKS, *Framing])
        headers = headers | {"Content-Type": "text/event-stream"}
    else:
        first = 0
        words = ", ".join(f'"{rng.getrandbits(32):x}"' for _ in range(PLAIN_WORDS))
        blocks = [f'{{"run": "{run}", "words": [{words}]}}'.encode()]
        framing = rng.choice(list(Framing))
        headers = headers | {"Content-Type": "application/json"}
    lines = [f"{name}: {value}".encode() for name, value in headers.items()]
    head = (b"HTTP/1.1 200 OK", *lines)
    return SoundAnswer(head, tuple(blocks), framing, is_stream), first


def _event(run: str, number: int) -> bytes:
    data = f"{run} piece {number}"
    check = zlib.crc32(data.encode())
    return f"id: {number}\ndata: {data} {check:08x}\n\n".encode()


def _cut(rng: random.Random, data: bytes) -> list[bytes]:
    cuts = sorted(
        rng.randrange(len(data) + 1) for _ in range(rng.randrange(MAX_WRITES))
    )
    parts = [data[a:b] for a, b in zip([0, *cuts], [*cuts, None], strict=True)]
    return [part for part in parts if part]
