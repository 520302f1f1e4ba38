"""An upstream whose sockets are closed one by one, as those of a killed process are."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket

from tools.ports import LOOPBACK
from tools.waiting import wait_until

HEALTH_PATHS = (b"/health", b"/healthz")
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
EVENT = b"id: %d\ndata: piece\n\n"
EVENT_PAUSE_S = 0.005
"""Time between two events of an answer, in seconds."""
HEALTHY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
PORT_OPEN_S = 0.06
"""Time for which a port stays open when it is closed last, in seconds."""


class DyingUpstream:
    """Sends events without end in each answer, delimited by its connection.

    It must be created in a running event loop.
    """

    def __init__(self) -> None:
        self.health_checks = 0
        self._events = 0
        self._answers: list[asyncio.StreamWriter] = []
        self._connections: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._listener = self._listen(0)
        self.port: int = self._listener.getsockname()[1]

    def __repr__(self) -> str:
        return f"DyingUpstream(port={self.port}, events={self._events})"

    async def wait_events(self, count: int) -> None:
        """Wait until so many events have been sent in all."""

        async def sent() -> bool:
            return self._events >= count

        await wait_until(sent, "events are sent")

    async def wait_connections(self, count: int) -> None:
        """Wait until so many connections are open."""

        async def are_open() -> bool:
            return len(self._connections) >= count

        await wait_until(are_open, "connections are open")

    def finish_answers(self) -> None:
        """Close the connections of all answers, and go on serving."""
        for writer in self._answers:
            writer.close()

    def die(self, *, port_first: bool) -> None:
        """End as a killed process does.

        Args:
            port_first: Whether the port is closed ahead of the answers, and a successor
                listens there by then. Otherwise it is closed some time after them, and
                connections that it has accepted are reset.
        """
        self._accepting.cancel()
        if port_first:
            self._listener.close()
            self._listener = self._listen(self.port)
        else:
            asyncio.get_running_loop().call_later(PORT_OPEN_S, self._listener.close)
        self._close_all()

    def close(self) -> None:
        """Close all sockets."""
        for task in self._tasks:
            task.cancel()
        self._listener.close()
        self._close_all()

    def _close_all(self) -> None:
        for writer in self._connections:
            writer.close()
        self._connections.clear()

    def _listen(self, port: int) -> socket.socket:
        listener = socket.create_server((LOOPBACK, port))
        listener.setblocking(False)
        self._accepting = asyncio.create_task(self._accept(listener))
        self._tasks.append(self._accepting)
        return listener

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(listener)
            reader, writer = await asyncio.open_connection(sock=conn)
            self._connections.append(writer)
            self._tasks.append(asyncio.create_task(self._serve(reader, writer)))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.split()[1] in HEALTH_PATHS:
                self.health_checks += 1
                writer.write(HEALTHY)
            else:
                await self._answer(writer)
        writer.close()

    async def _answer(self, writer: asyncio.StreamWriter) -> None:
        self._answers.append(writer)
        writer.write(HEAD)
        numbers = itertools.count(1)
        while not writer.is_closing():
            writer.write(EVENT % next(numbers))
            self._events += 1
            await asyncio.sleep(EVENT_PAUSE_S)
