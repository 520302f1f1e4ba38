"""Serves connections that other entries hand over.

Each is an ordinary connection of the HTTP server, whose transport is a link.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from leadseam.handover.rows import RowSender
from leadseam.runtime.sockets import RESET
from leadseam.wire.handover import ConnectionEvent, ConnectionRow, ConnectionRows

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.runtime.metrics import Metrics
    from leadseam.wire.link import Link

COLLECT_S = 0.02
"""Seconds for which parts of responses are collected: a fifth of the shortest time
within which callers must get an event. A busy entry then writes each connection's
events together."""
WINDOW = 65_536
"""Bytes of a response that may be on their way to a caller that reads slowly."""


class LinkTransport(asyncio.Transport):
    """Transport of a connection that another entry has accepted.

    Args:
        number: Number of the connection on the link.
        rows: Sends rows to the other entry.
        on_close: Called when the connection has ended.
    """

    def __init__(
        self, number: int, rows: RowSender, on_close: Callable[[int], object]
    ) -> None:
        super().__init__()
        self._number = number
        self._rows = rows
        self._on_close = on_close
        self._protocol: asyncio.BaseProtocol | None = None
        self._is_closing = False
        self._has_begun = False
        self._unread: list[bytes] = []
        self._is_reading = True
        self._in_flight = 0
        self._is_paused = False

    def __repr__(self) -> str:
        return f"LinkTransport({self._number}, closing={self._is_closing})"

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return how to reset the connection; nothing else is known of it."""
        return self.reset if name == RESET else default

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Set the protocol that gets what arrives from now on."""
        self._protocol = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol."""
        assert self._protocol is not None
        return self._protocol

    def is_closing(self) -> bool:
        """Return whether the connection is closed or about to be."""
        return self._is_closing

    def pause_reading(self) -> None:
        """Keep what arrives; it is bounded by the largest body that is handed over."""
        self._is_reading = False

    def resume_reading(self) -> None:
        """Deliver what was kept."""
        self._is_reading = True
        unread, self._unread = self._unread, []
        for position, data in enumerate(unread):
            if not self._is_reading:
                self._unread += unread[position:]
                return
            self._deliver(data)

    def get_write_buffer_size(self) -> int:
        """Return the bytes that are on their way to the caller."""
        return self._in_flight

    def can_write_eof(self) -> bool:
        """Return that only the whole connection can be closed."""
        return False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes of the response."""
        if self._is_closing or not data:
            return
        self._rows.add(ConnectionRow(self._number, bytes(data)))
        self._in_flight += len(data)
        if self._in_flight > WINDOW and not self._is_paused:
            self._is_paused = True
            self.get_protocol().pause_writing()

    def close(self) -> None:
        """Close the connection behind what was written."""
        self._end(ConnectionEvent.CLOSED)

    def abort(self) -> None:
        """Close the connection so that a chunked response is seen to be incomplete."""
        self._end(ConnectionEvent.ABORTED)

    def reset(self) -> None:
        """Reset the connection."""
        self._end(ConnectionEvent.RESET)

    def begin(self, data: bytes) -> None:
        """Deliver the first bytes, unless the protocol has closed the connection."""
        self._has_begun = True
        self._deliver(data)

    def receive(self, row: ConnectionRow) -> None:
        """Process what the other entry tells of this connection."""
        if row.data:
            if self._is_reading:
                self._deliver(row.data)
            else:
                self._unread.append(row.data)
        if row.credit:
            self._in_flight = max(self._in_flight - row.credit, 0)
            if self._is_paused and self._in_flight <= WINDOW // 2:
                self._is_paused = False
                self.get_protocol().resume_writing()
        if row.event == ConnectionEvent.CLOSED:
            self.lost()

    def lost(self) -> None:
        """End the connection, as the caller has left or the link is lost."""
        if not self._is_closing:
            self._is_closing = True
            self._forget()

    def _end(self, event: ConnectionEvent) -> None:
        if not self._is_closing:
            self._is_closing = True
            if not self._has_begun:
                event = ConnectionEvent.REJECTED
            self._rows.add(ConnectionRow(self._number, event=event))
            self._forget()

    def _forget(self) -> None:
        self._on_close(self._number)
        asyncio.get_running_loop().call_soon(self.get_protocol().connection_lost, None)

    def _deliver(self, data: bytes) -> None:
        if not self._is_closing:
            cast("asyncio.Protocol", self.get_protocol()).data_received(data)


class HandOverReceiver:
    """Accepts links from busy entries, and serves the connections on them.

    Args:
        make_protocol: Returns the protocol for a connection that carries one request.
        accepts: Returns whether connections are taken over now.
        metrics: Metrics to register those of connections taken over with.
    """

    def __init__(
        self,
        make_protocol: Callable[[], asyncio.Protocol],
        accepts: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._make_protocol = make_protocol
        self._accepts = accepts
        self._taken_over = metrics.buffered_counter(
            "connections_taken_over_total",
            "Connections that other entries wanted to hand over, by result.",
            "result",
        )
        self._rows: dict[Link, RowSender] = {}

    async def close(self) -> None:
        """Send what was collected of responses, and close all links."""
        for link, rows in list(self._rows.items()):
            rows.flush()
            await link.close()

    async def serve(self, link: Link) -> None:
        """Serve the connections of one link until it ends."""
        transports: dict[int, LinkTransport] = {}
        rows = RowSender(link, delay_s=COLLECT_S)
        self._rows[link] = rows
        try:
            async for message in link.messages():
                if not isinstance(message, ConnectionRows):
                    return
                for row in message.rows:
                    if row.event == ConnectionEvent.OPENED:
                        self._open(row, rows, transports)
                    elif (transport := transports.get(row.number)) is not None:
                        transport.receive(row)
        finally:
            del self._rows[link]
            rows.stop()
            for transport in list(transports.values()):
                transport.lost()

    def _open(
        self,
        row: ConnectionRow,
        rows: RowSender,
        transports: dict[int, LinkTransport],
    ) -> None:
        if not self._accepts():
            self._taken_over.inc("rejected")
            rows.add(ConnectionRow(row.number, event=ConnectionEvent.REJECTED))
            return
        transport = LinkTransport(
            row.number, rows, lambda number: transports.pop(number, None)
        )
        transports[row.number] = transport
        protocol = self._make_protocol()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        self._taken_over.inc("rejected" if transport.is_closing() else "taken_over")
        transport.begin(row.data)
