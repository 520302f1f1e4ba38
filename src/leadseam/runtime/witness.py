"""Checks whether an upstream's process still runs, by connections to it.

That its port accepts connections shows little: the kernel closes the sockets of a
killed process one after another, and a new process may listen at the same address.
A witness is a connection that is open before an answer ends. It belongs to the process
that answers, so that an answer on it afterwards proves that this process runs.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import logging
import re
import socket
import struct
import termios
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import TYPE_CHECKING, cast

import aiohappyeyeballs

from leadseam.clock import Clock, Millis, seconds, sleep
from leadseam.liveness import Identity, Liveness
from leadseam.runtime.tasks import spawn

if TYPE_CHECKING:
    from collections.abc import Iterator

    from leadseam.liveness import HealthCheck

RETRY_PAUSE: Millis = 10
"""Pause before another connection if one was closed without an answer."""
LOSS_WINDOW: Millis = 100
"""Time that a killed process takes at most to close all its connections. A process that
answers within it after the loss of a witness, without its name, may be another one."""
CONNECT_TIMEOUT: Millis = 1_000
CONNECT_ATTEMPTS = 3
CONNECT_DELAY: Millis = 80
"""Time without an answer after which another attempt to connect is made beside those
that were begun. A kernel repeats the first packet of a connection only after 1 s."""
MAX_HEAD = 64 * 1024
HEAD_END = b"\r\n\r\n"

log = logging.getLogger(__name__)

Address = tuple[str, int]


class _Reply(Enum):
    """What a connection tells about the process at its other end."""

    SAME = auto()
    OTHER = auto()
    UNSTATED = auto()
    OPEN = auto()
    LOST = auto()
    UNACKNOWLEDGED = auto()


_STATUS = re.compile(r"\S+ +([0-9]{3})(?![^ ])")
_REPLIES = {
    Identity.SAME: _Reply.SAME,
    Identity.OTHER: _Reply.OTHER,
    Identity.UNSTATED: _Reply.UNSTATED,
}


class _Connection(asyncio.Protocol):
    """A connection for one health check."""

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.ended: asyncio.Future[None] = loop.create_future()
        """Done once the head of an answer is complete or the connection is closed."""
        self.is_open = False
        self._received = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast("asyncio.Transport", transport)
        self.is_open = True

    def data_received(self, data: bytes) -> None:
        self._received += data
        if HEAD_END in self._received or len(self._received) > MAX_HEAD:
            self._end()

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_open = False
        self._end()

    def close(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    async def ask(self, check: HealthCheck, host: str, *, timeout: Millis) -> _Reply:
        """Send a health check and wait for the head of its answer.

        Args:
            check: The check; without a target the connection is only kept open.
            host: Value of the `Host` header.
            timeout: Longest time to wait.
        """
        assert self._transport is not None
        if check.target and self.is_open:
            self._transport.write(check.encode(host))
        await asyncio.wait([self.ended], timeout=seconds(timeout))
        if HEAD_END in self._received:
            return self._identify(check)
        if not self.is_open or self.ended.done():
            return _Reply.LOST
        return _Reply.OPEN if self._is_acknowledged() else _Reply.UNACKNOWLEDGED

    def _identify(self, check: HealthCheck) -> _Reply:
        head = self._received.partition(HEAD_END)[0].decode("latin-1")
        first, *lines = head.split("\r\n")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        status = _STATUS.match(first)
        code = int(status[1]) if status is not None else 0
        return _REPLIES[check.identify(code, headers)]

    def _is_acknowledged(self) -> bool:
        """Return whether the peer's kernel has received all that was sent."""
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
        return bool(struct.unpack("i", queued)[0] == 0)

    def _end(self) -> None:
        if not self.ended.done():
            self.ended.set_result(None)


@dataclass(slots=True)
class _Watch:
    """Answers of one address that are in progress, and their witness.

    Args:
        count: Number of these answers.
        conn: The witness, or None.
        asking: Done once the check that uses the witness has ended; None if none does.
        lost_at: When a witness was last lost, or None.
    """

    count: int = 0
    conn: _Connection | None = None
    asking: asyncio.Future[_Reply] | None = field(default=None, repr=False)
    lost_at: Millis | None = None
    opener: asyncio.Task[None] | None = field(default=None, repr=False)


class LivenessChecker:
    """Checks whether upstreams still run.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._watches: dict[Address, _Watch] = {}

    def __repr__(self) -> str:
        return f"LivenessChecker(addresses={len(self._watches)})"

    @contextlib.contextmanager
    def watching(self, ip: str, port: int) -> Iterator[None]:
        """Keep a witness while an answer is in progress.

        The answers of one address share it.
        """
        address = (ip, port)
        watch = self._watches.setdefault(address, _Watch())
        watch.count += 1
        if watch.opener is None and watch.conn is None:
            watch.opener = spawn(self._keep_open(address, watch))
        try:
            yield
        finally:
            watch.count -= 1
            if not watch.count:
                del self._watches[address]
                if watch.opener is not None:
                    watch.opener.cancel()
                if watch.conn is not None:
                    watch.conn.close()

    async def check(
        self, ip: str, port: int, check: HealthCheck, *, timeout: Millis
    ) -> Liveness:
        """Check whether the process that has ended an answer still runs.

        Args:
            ip: IP address of the process.
            port: Its port.
            check: Health check that it answers.
            timeout: Longest time that the check takes. A process that has not answered
                by then runs if it keeps the connection open, as the kernel closes all
                connections of one that has ended.
        """
        ended_at = self._clock.now()
        deadline = ended_at + timeout
        watch = self._watches.get((ip, port), _Watch())
        if watch.conn is not None:
            reply = await self._ask_witness(watch, watch.conn, ip, check, timeout)
            match reply:
                case _Reply.LOST:
                    pass
                case _Reply.UNACKNOWLEDGED:
                    return Liveness.UNKNOWN
                case _:
                    return Liveness.GONE if reply is _Reply.OTHER else Liveness.RUNS
        elif watch.asking is not None:
            await asyncio.wait([watch.asking], timeout=seconds(timeout))
        found = await self._check_anew(ip, port, check, deadline)
        if found is not None:
            return found
        lost_at = watch.lost_at
        lost = lost_at is not None and ended_at - lost_at <= LOSS_WINDOW
        return Liveness.GONE if lost else Liveness.RUNS

    async def _ask_witness(
        self,
        watch: _Watch,
        conn: _Connection,
        ip: str,
        check: HealthCheck,
        timeout: Millis,
    ) -> _Reply:
        watch.conn = None
        watch.asking = asyncio.ensure_future(
            self._ask(conn, ip, check, timeout=timeout)
        )
        reply = await watch.asking
        if reply is _Reply.LOST:
            watch.lost_at = self._clock.now()
        return reply

    async def _check_anew(
        self, ip: str, port: int, check: HealthCheck, deadline: Millis
    ) -> Liveness | None:
        """Check by new connections, which another process may accept by now.

        Returns:
            None if a process runs that does not state which one it is.
        """
        while True:
            left = deadline - self._clock.now()
            try:
                conn = await self._connect(ip, port, timeout=max(left, 1))
            except ConnectionRefusedError:
                return Liveness.GONE
            except OSError:
                # Includes timeouts. The attempt has its log line.
                return Liveness.UNKNOWN
            left = deadline - self._clock.now()
            reply = await self._ask(conn, ip, check, timeout=max(left, 1))
            match reply:
                case _Reply.SAME:
                    return Liveness.RUNS
                case _Reply.OTHER:
                    return Liveness.GONE
                case _Reply.UNACKNOWLEDGED:
                    return Liveness.UNKNOWN
                case _Reply.LOST if self._clock.now() + RETRY_PAUSE < deadline:
                    # An upstream may reset connections above a limit.
                    await sleep(RETRY_PAUSE)
                case _Reply.LOST | _Reply.OPEN | _Reply.UNSTATED:
                    return None

    async def _ask(
        self, conn: _Connection, ip: str, check: HealthCheck, *, timeout: Millis
    ) -> _Reply:
        try:
            return await conn.ask(check, ip, timeout=timeout)
        finally:
            conn.close()

    async def _keep_open(self, address: Address, watch: _Watch) -> None:
        """Open the witness, and open it again when it is lost or has been used."""
        while True:
            try:
                conn = await self._connect(*address, timeout=CONNECT_TIMEOUT)
            except OSError:
                # The end of the answer, if it comes, tells whether the upstream runs.
                await sleep(CONNECT_TIMEOUT)
                continue
            watch.conn = conn
            await asyncio.wait([conn.ended])
            if watch.conn is conn:
                # It was not used for a check.
                watch.conn = None
                watch.lost_at = self._clock.now()
            conn.close()
            await sleep(LOSS_WINDOW)

    async def _connect(self, ip: str, port: int, *, timeout: Millis) -> _Connection:
        """Open a connection, by several attempts if packets are lost.

        Raises:
            OSError: If it is refused, or not accepted in time.
        """
        loop = asyncio.get_running_loop()
        family = socket.AF_INET6 if ":" in ip else socket.AF_INET
        target = (family, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", (ip, port))
        async with asyncio.timeout(seconds(timeout)):
            sock = await aiohappyeyeballs.start_connection(
                addr_infos=[target] * CONNECT_ATTEMPTS,
                happy_eyeballs_delay=seconds(CONNECT_DELAY),
                interleave=1,
            )
            # Cancelled in between, the loop and the socket would both close the
            # descriptor, which may belong to another connection by then.
            opening = spawn(loop.create_connection(_Connection, sock=sock))
            try:
                _, conn = await asyncio.shield(opening)
            except asyncio.CancelledError:
                opening.add_done_callback(_close_opened)
                raise
        return cast("_Connection", conn)


def _close_opened(opening: asyncio.Task[tuple[asyncio.Transport, _Connection]]) -> None:
    """Close a connection that nobody waits for any more."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[0].abort()
