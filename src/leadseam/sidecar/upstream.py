"""HTTP client for the upstream: all requests and health probes go through it."""

from __future__ import annotations

import asyncio
import logging
from contextlib import nullcontext
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from leadseam.answer_end import Completeness, Framing, read_framing
from leadseam.answer_head import read_head_fault
from leadseam.clock import Clock, Millis, seconds
from leadseam.event_sequence import EventFormat, EventReader, EventSequence
from leadseam.event_stream import PassThrough
from leadseam.liveness import HealthCheck
from leadseam.outcome import Reason
from leadseam.runtime.upstream_connection import UpstreamConnector, read_end
from leadseam.runtime.witness import LivenessChecker
from leadseam.sidecar.meter import EVENT_STREAM, STREAM_END, meter_for
from leadseam.wire.dispatch import Chunk, Final, Head

if TYPE_CHECKING:
    from collections.abc import Callable
    from contextlib import AbstractContextManager

    from leadseam.liveness import Liveness
    from leadseam.runtime.timeouts import Timeouts
    from leadseam.sidecar.meter import Meter
    from leadseam.wire.dispatch import Dispatch

log = logging.getLogger(__name__)

CONNECT_TIMEOUT: Millis = 1_000
END_CHECK_TIMEOUT: Millis = 300
"""Longest time for which the end of an answer is held back while it is checked."""
PROBE_TIMEOUT: Millis = 1_500
PROBE_PATH = "/health"
HEALTH_CHECK = HealthCheck(PROBE_PATH)
PRIORITY_HEADER = "X-Priority"
READ_SIZE = 64 * 1024
FIRST_SERVER_ERROR = 500

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "content-encoding",
    }
)


@dataclass(frozen=True, slots=True)
class UpstreamAddress:
    """Address and kind of an upstream.

    Args:
        ip: IP address.
        port: Port.
        engine: Whether the upstream is a model engine, not a plain service.
    """

    ip: str
    port: int
    engine: bool


class Window:
    """Flow-control window: bytes that may be sent to an entry before it adds credit.

    Args:
        size: Initial size in bytes.
    """

    def __init__(self, size: int) -> None:
        self._left = size
        self._unlimited = False
        self._open = asyncio.Event()
        self._open.set()

    async def consume(self, size: int) -> None:
        """Wait until the window is positive, then use `size` bytes of it.

        The window may become negative, so a chunk is never split.
        """
        await self._open.wait()
        self._left -= size
        if self._left <= 0 and not self._unlimited:
            self._open.clear()

    def add_credit(self, size: int) -> None:
        """Add credit of `size` bytes."""
        self._left += size
        if self._left > 0:
            self._open.set()

    def remove_limit(self) -> None:
        """Remove the limit, because the entry no longer reads the response."""
        self._unlimited = True
        self._open.set()


class UpstreamClient:
    """HTTP client for one upstream.

    Args:
        address: Address and kind of the upstream.
        clock: Source of time.
        timeouts: Enforces the time limits of requests.
    """

    def __init__(
        self, address: UpstreamAddress, clock: Clock, timeouts: Timeouts
    ) -> None:
        self.address = address
        self._clock = clock
        self._timeouts = timeouts
        self._liveness = LivenessChecker(clock)
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=seconds(CONNECT_TIMEOUT)
        )
        # Each request gets a connection of its own. A late second answer on a reused
        # one would be taken for the next request's, as answers name no request; and
        # the client library may send a request twice on it.
        self._http = aiohttp.ClientSession(
            connector=UpstreamConnector(),
            timeout=self._timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Content-Type"),
        )

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()

    async def probe(self) -> bool:
        """Return whether the health check succeeds without a server error."""
        timeout = aiohttp.ClientTimeout(total=seconds(PROBE_TIMEOUT))
        try:
            async with self._http.get(self._url(PROBE_PATH), timeout=timeout) as resp:
                return resp.status < FIRST_SERVER_ERROR
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return False

    async def run(
        self,
        req: Dispatch,
        *,
        window: Window,
        send: Callable[[Head | Chunk], None],
        charge: Callable[[int], None],
    ) -> Final:
        """Send a request to the upstream and forward its response.

        Args:
            req: The request.
            window: Flow-control window of the entry.
            send: Called with the head and each chunk of the response.
            charge: Called with service as it is measured.

        Returns:
            The end of the response, with an error if the response is incomplete.
        """
        stream = _Stream(self, req, window, send, charge)
        try:
            async with self._timeouts.until(self._time_limit(req)):
                await stream.run()
        except aiohttp.ClientConnectorError:
            return stream.final(Reason.UPSTREAM_UNREACHABLE, started=False)
        except TimeoutError:
            return stream.final(Reason.DEADLINE_PASSED)
        except (aiohttp.ClientError, OSError, ValueError):
            return stream.final(Reason.UPSTREAM_BROKEN)
        if not stream.complete:
            return stream.final(Reason.UPSTREAM_BROKEN)
        return stream.final("")

    def watch_end(self, resp: aiohttp.ClientResponse) -> AbstractContextManager[None]:
        """Keep a connection by which the end of an answer can be checked.

        Nothing is opened for an answer whose own bytes tell whether it is whole.
        """
        if read_framing(resp.method, resp.status, resp.headers) is Framing.CONNECTION:
            return self._liveness.watching(self.address.ip, self.address.port)
        return nullcontext()

    async def check_liveness(self) -> Liveness:
        """Check whether the upstream that has ended an answer still runs."""
        address = self.address
        return await self._liveness.check(
            address.ip, address.port, HEALTH_CHECK, timeout=END_CHECK_TIMEOUT
        )

    def open(self, req: Dispatch) -> aiohttp.client._RequestContextManager:
        """Start the HTTP request for a dispatched request."""
        return self._http.request(
            req.method,
            self._url(req.path),
            data=req.body or None,
            headers=[*req.headers, (PRIORITY_HEADER, str(req.priority))],
            allow_redirects=False,
        )

    def new_meter(self, content_type: str) -> Meter:
        """Return a new meter for a response of a content type."""
        return meter_for(
            engine=self.address.engine,
            content_type=content_type,
            start=self._clock.now(),
        )

    def now(self) -> Millis:
        """Return the current time."""
        return self._clock.now()

    def _time_limit(self, req: Dispatch) -> Millis | None:
        """Return when a request times out, or None.

        A request without a deadline, or that must not be repeated, has no time limit.
        """
        if not (req.deadline and req.repeatable):
            return None
        return self._clock.now() + req.deadline

    def _url(self, path: str) -> URL:
        host = f"[{self.address.ip}]" if ":" in self.address.ip else self.address.ip
        return URL(f"http://{host}:{self.address.port}{path}", encoded=True)


class _Stream:
    """Streams one response from the upstream to an entry."""

    def __init__(
        self,
        upstream: UpstreamClient,
        req: Dispatch,
        window: Window,
        send: Callable[[Head | Chunk], None],
        charge: Callable[[int], None],
    ) -> None:
        self._upstream = upstream
        self._req = req
        self._window = window
        self._send = send
        self._charge = charge
        # Until the head gives the content type, a plain service is charged for its
        # slot time and an engine for one token.
        self._meter: Meter = upstream.new_meter("")
        self._chunks = 0
        self._size = 0
        self._status = 0
        self._completeness = Completeness.BROKEN

    @property
    def complete(self) -> bool:
        """Whether the body is complete, also according to its format."""
        if self._completeness is Completeness.BROKEN:
            return False
        return self._status >= FIRST_SERVER_ERROR or self._meter.complete

    async def run(self) -> None:
        try:
            async with self._upstream.open(self._req) as resp:
                fault = read_head_fault(resp.status, resp.headers)
                if fault is not None:
                    self._log_spoilt({"head": fault.value})
                    resp.close()
                    return
                self._status = resp.status
                self._meter = self._upstream.new_meter(resp.content_type)
                self._send(Head(self._req.attempt, resp.status, _end_to_end(resp)))
                reader = self._reader(resp)
                with self._upstream.watch_end(resp):
                    while data := await resp.content.readany():
                        await self._forward(self._metered(b"".join(reader.feed(data))))
                        if isinstance(reader, EventReader) and reader.spoilt:
                            self._log_spoilt(reader.spoilt.log_fields())
                            resp.close()
                            return
                    end = read_end(resp, unfinished=reader.unfinished)
                    if end.completeness is Completeness.UNKNOWN:
                        liveness = await self._upstream.check_liveness()
                        end = replace(end, liveness=liveness)
                self._completeness = end.completeness
                whole = end.completeness is not Completeness.BROKEN
                if whole and isinstance(reader, EventReader):
                    await self._forward(self._metered(reader.closing))
                if not reader.unfinished:
                    await self._forward(reader.pending)
        finally:
            self._charge(self._meter.finish(self._upstream.now()))

    def _reader(self, resp: aiohttp.ClientResponse) -> EventReader | PassThrough:
        if resp.content_type != EVENT_STREAM:
            return PassThrough()
        closing = STREAM_END if self._upstream.address.engine else ""
        return EventReader(EventSequence(EventFormat(closing=closing)))

    def _metered(self, data: bytes) -> bytes:
        """Charge sound bytes of the answer, and return them."""
        self._charge(self._meter.feed(data, self._upstream.now()))
        return data

    def _log_spoilt(self, fields: dict[str, object]) -> None:
        extra = {"path": self._req.path, "account": self._req.account, **fields}
        log.warning("upstream sent an answer that is not the one due", extra=extra)

    def final(self, error: str, *, started: bool = True) -> Final:
        return Final(self._req.attempt, self._chunks, self._size, error, started)

    async def _forward(self, data: bytes) -> None:
        for start in range(0, len(data), READ_SIZE):
            part = data[start : start + READ_SIZE]
            await self._window.consume(len(part))
            self._send(Chunk(self._req.attempt, self._chunks, part))
            self._chunks += 1
            self._size += len(part)


def _end_to_end(resp: aiohttp.ClientResponse) -> tuple[tuple[str, str], ...]:
    kept = HOP_BY_HOP - {"content-encoding"}
    items = resp.headers.items()
    return tuple(
        (str(name), str(value)) for name, value in items if name.lower() not in kept
    )
