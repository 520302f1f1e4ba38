"""An upstream that answers each request with given bytes."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Self

from tools.dying_upstream import HEALTH_PATHS, HEALTHY
from tools.ports import LOOPBACK

if TYPE_CHECKING:
    from types import TracebackType


class RawUpstream:
    """Sends an answer to each request, as an asynchronous context manager.

    Args:
        answers: Bytes of the answers, in order; the last one is sent again.
        closes: Whether each connection is closed behind its first answer.
    """

    def __init__(self, *answers: bytes, closes: bool = True) -> None:
        self.port = 0
        self.connections = 0
        self._answers = list(answers)
        self._closes = closes
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            is_check = head.split()[1] in HEALTH_PATHS
            self.connections += not is_check
            while not is_check:
                several = len(self._answers) > 1
                writer.write(self._answers.pop(0) if several else self._answers[0])
                await writer.drain()
                if self._closes:
                    break
                await reader.readuntil(b"\r\n\r\n")
            if is_check:
                writer.write(HEALTHY)
        writer.close()
