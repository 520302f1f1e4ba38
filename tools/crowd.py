"""Many connections that send requests at once and leave most of them unfinished."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tools.waiting import CONDITION_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

FINISHED_EVERY = 8
"""Of so many members one sends its request to the end."""
READ_SIZE = 65_536


@dataclass
class Member:
    """One connection of a crowd.

    Args:
        request_id: Identifier of its request.
        pieces: Pieces in which it sends its request; most members keep the last back.
        finishes: Whether it sends the last piece.
        received: Bytes that it has received.
        closed: Whether the other side has closed the connection.
    """

    request_id: str
    pieces: Sequence[bytes]
    finishes: bool = False
    received: bytearray = field(default_factory=bytearray)
    closed: bool = False

    @property
    def status(self) -> int:
        """Status of the response, or 0 if there is none."""
        words = bytes(self.received[:64]).split(b" ", 2)
        return int(words[1]) if words[0] == b"HTTP/1.1" else 0


class Crowd:
    """Members that connect first, then send their pieces in turn, and stay.

    Args:
        address: Address and port that they connect to.
        members: The connections.
        pause: Seconds between two members that send a piece; 0 if all send at once. The
            other side is then not kept busy, and does not refuse them for that.
    """

    def __init__(
        self,
        address: tuple[str, int],
        members: Iterable[Member],
        *,
        pause: float = 0.0,
    ) -> None:
        self._address = address
        self._pause = pause
        self.members = list(members)
        for number, member in enumerate(self.members):
            member.finishes = number % FINISHED_EVERY == 0
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._readers: list[asyncio.Task[None]] = []

    async def send(self) -> None:
        """Open all connections and send what the members send of their requests.

        A member whose connection is closed, or that is not read, sends no more.
        """
        for number, member in enumerate(self.members):
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*self._address)
                self._writers[number] = writer
                self._readers.append(asyncio.create_task(_read(member, reader)))
        turns = [
            member.pieces if member.finishes else member.pieces[:-1]
            for member in self.members
        ]
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CONDITION_TIMEOUT):
                for pieces in itertools.zip_longest(*turns):
                    await self._send_turn(pieces)

    async def _send_turn(self, pieces: Sequence[bytes | None]) -> None:
        sends = [
            _send(self.members[number], writer, pieces[number])
            for number, writer in self._writers.items()
        ]
        if not self._pause:
            await asyncio.gather(*sends)
            return
        for send in sends:
            await send
            await asyncio.sleep(self._pause)

    async def leave(self) -> None:
        """Close all connections."""
        for writer in self._writers.values():
            writer.transport.abort()
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        await asyncio.sleep(0)


async def _send(
    member: Member, writer: asyncio.StreamWriter, piece: bytes | None
) -> None:
    if piece is None or member.closed:
        return
    try:
        writer.write(piece)
        await writer.drain()
    except OSError:
        member.closed = True


async def _read(member: Member, reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_SIZE):
            member.received += data
    member.closed = True
