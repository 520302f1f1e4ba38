"""A small stand-in of the platform's servers, which registers itself."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from leadseam.platform import names
from tools.platform.operator import open_session, tell
from tools.platform.rests import Arrival, Rest
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

HEARTBEAT = 0.1
"""Seconds between two heartbeats of a server, as its nodes' settings state."""
EVENTS = 6
"""Events of each stream."""
LARGE_BODY = b"\nid: 7\n" * 300_000
"""Body of a plain answer that is passed on before it is whole: 2.1 MB."""
LARGE_BEGIN = 1_400_000
"""Bytes of it that come at once."""
_instances = itertools.count(1)


@dataclass
class Run:
    """A request that a server ran.

    Args:
        request_id: Its identifier.
        method: HTTP method.
        target: Path and query as sent.
        body: Bytes of the body.
        headers: All headers as received.
        ended: How it ended: `done`, `cancelled`, or empty while it runs.
        at: When its body had been read, on the steady clock.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    headers: CIMultiDict[str]
    ended: str = ""
    at: float = field(default_factory=time.monotonic)


@dataclass
class Server:
    """One server.

    Args:
        ip: Address that it listens on.
        port: Port that it listens on.
        service: Service that it registers for.
        controls: Control boxes that heartbeats go to, in turn.
        slots: Requests that it takes at a time.
        instance: Name of its incarnation.
        behave: What it does with a path, by the path's last part.
        runs: Requests that it ran.
        release: Set when those that `behave` holds may go on.
        state: State that it states in heartbeats.
        acks: Heartbeats that were acknowledged.
        advertised: Address that it registers. Defaults to where it listens.
        pause: Seconds between events, and before a plain answer.
        usual: What it does with paths that `behave` does not name.
        born: When it started, in Unix milliseconds; None to leave it out.
        left_at: When its end was acknowledged, on the steady clock, or None.
        down: Seconds after a crash until it is back: as another incarnation, under a
            new id or, if it states its starts, under the one that it had.
        crashes: Requests that have crashed it.
        zone: Failure domain that it states.
        cold: Milliseconds for which it says that it is cold.
        rest: Seconds of rest for which it asks when it turns a request away.
        rests: Refusals with which it has asked for a rest.
        arrivals: Requests that have reached it, run or not.
        says_leaving: Whether its answers say that it is about to end.
    """

    ip: str
    port: int
    service: str
    controls: Sequence[str]
    slots: int = 4
    instance: str = field(default_factory=lambda: f"i-{next(_instances)}")
    behave: dict[str, str] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    state: str = "ready"
    acks: int = 0
    advertised: str = ""
    pause: float = 0.0
    usual: str = "answer"
    left_at: float | None = None
    born: int | None = None
    down: float = 0.6
    crashes: list[Run] = field(default_factory=list)
    zone: str = "a"
    cold: int = 0
    rest: float = 0.0
    rests: list[Rest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    says_leaving: bool = False

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        self._server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, self.port).start()
        self._session = open_session()
        self._beats = asyncio.create_task(self._beat())
        self._coming_back: asyncio.Task[None] | None = None
        self._stopped = False

    async def stop(self) -> None:
        """Go away without a word."""
        self._stopped = True
        if self._coming_back is not None and not self._coming_back.done():
            self._coming_back.cancel()
            await asyncio.wait([self._coming_back])
        await self._end()

    async def _end(self) -> None:
        self._beats.cancel()
        await self._session.close()
        await self._runner.cleanup()

    @property
    def is_up(self) -> bool:
        """Whether it serves."""
        return self._coming_back is None or self._coming_back.done()

    @property
    def incarnation(self) -> str:
        """Which start of it this is."""
        return f"{self.instance}@{self.born or 0}"

    def crash(self) -> bool:
        """End all connections and tasks at once, and come back after a while.

        Returns:
            Whether it was up; one that goes away for good is not to come back at its
            successor's place.
        """
        if self._stopped or not self.is_up:
            return False
        for site in list(self._runner.sites):
            # Closes the listening socket at once; the rest is awaited later.
            if site._server is not None:
                site._server.close()
        for conn in list(self._server.connections):
            if conn.transport is not None:
                conn.transport.abort()
        self._coming_back = asyncio.create_task(self._come_back())
        return True

    async def _come_back(self) -> None:
        await self._end()
        await asyncio.sleep(self.down)
        if self.born is None:
            self.instance = f"i-{next(_instances)}"
        else:
            self.born = time.time_ns() // 1_000_000
        # Nothing that it announced before is true of this start.
        self.state = "ready"
        self.says_leaving = False
        self.left_at = None
        await self.start()

    async def drain(self) -> None:
        """Announce a planned end, and wait for the acknowledgement."""
        self.state = "draining"
        acks = self.acks
        await wait_until(lambda: _true(self.acks > acks + 1), "leaving is acknowledged")

    def count(self, request_id: str) -> int:
        """Return how often a request ran here."""
        return sum(run.request_id == request_id for run in self.runs)

    async def _beat(self) -> None:
        for sequence in itertools.count(1):
            control = self.controls[sequence % len(self.controls)]
            url = f"http://{control}" + names.HEARTBEAT_PATH.format(
                instance=self.instance
            )
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with self._session.post(url, json=self.heartbeat(sequence)) as r:
                    self.acks += r.status == 200
            await asyncio.sleep(HEARTBEAT)

    async def deregister(self, born: int | None = None) -> int:
        """Say that a start of it leaves; return the status.

        Args:
            born: Start that leaves. Defaults to its own.
        """
        born = self.born if born is None else born
        body = {} if born is None else {"born": born}
        path = names.LEAVE_PATH.format(instance=self.instance)
        return await tell(self.controls[0], path, json.dumps(body).encode())

    def heartbeat(self, sequence: int) -> dict[str, Any]:
        """Return what it says of itself."""
        stated = {} if self.born is None else {"born": self.born}
        return stated | {
            "service": self.service,
            "address": self.advertised or f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": self.cold,
            "sequence": sequence,
        }

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        if http.headers.get(names.EXPECT_INSTANCE) != self.instance:
            return web.Response(status=421, headers=self._echo(http))
        request_id = http.headers[names.REQUEST_ID]
        self.arrivals.append(Arrival(request_id, self.incarnation))
        action = self.behave.get(http.path.rsplit("/", 1)[-1], self.usual)
        if action == "full":
            headers = {**self._echo(http), names.NOT_RUN: "1"}
            return web.Response(status=503, headers=headers)
        if action == "rest":
            return self._ask_for_rest(http)
        run = Run(
            request_id,
            http.method,
            http.raw_path,
            await http.read(),
            http.headers.copy(),
        )
        self.runs.append(run)
        try:
            response = await self._act(http, action)
        except asyncio.CancelledError:
            run.ended = "cancelled"
            raise
        run.ended = "done"
        return response

    async def _act(self, http: web.BaseRequest, action: str) -> web.StreamResponse:
        match action:
            case "reset":
                return self._abort(http)
            case "crash":
                self.crashes.append(self.runs[-1])
                self.crash()
                raise asyncio.CancelledError
            case "hold":
                await self.release.wait()
                return self._answer(http)
            case "unsigned":
                return web.Response(body=b"x", headers=self._echo(http))
            case "foreign":
                signed = self._signed(http) | {names.REQUEST_ID: "another"}
                return web.Response(body=b"x", headers=signed)
            case "error":
                return web.Response(status=500, headers=self._signed(http))
            case "large":
                return await self._large(http)
            case _ if "stream" in http.path:
                return await self._stream(http, action)
            case "lose":
                await asyncio.sleep(self.pause)
                return self._abort(http)
            case _:
                await asyncio.sleep(self.pause)
                return self._answer(http)

    def _answer(self, http: web.BaseRequest) -> web.Response:
        body = f"{self.instance} {http.raw_path}".encode()
        return web.Response(body=body, headers=self._signed(http))

    async def _large(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer with more than is held, the rest of it when that is released."""
        headers = {**self._signed(http), "Content-Type": "application/json"}
        response = web.StreamResponse(headers=headers)
        response.content_length = len(LARGE_BODY)
        await response.prepare(http)
        await response.write(LARGE_BODY[:LARGE_BEGIN])
        await self.release.wait()
        await response.write(LARGE_BODY[LARGE_BEGIN:])
        await response.write_eof()
        return response

    async def _stream(self, http: web.BaseRequest, action: str) -> web.StreamResponse:
        headers = {**self._signed(http), "Content-Type": "text/event-stream"}
        response = web.StreamResponse(headers=headers)
        response.enable_chunked_encoding()
        await response.prepare(http)
        first = int(http.headers.get(names.LAST_EVENT, "0")) + 1
        for number in range(first, EVENTS + 1):
            if action == "pause" and number == EVENTS // 2:
                await self.release.wait()
            if action in ("break", "lose") and number == EVENTS // 2:
                await response.write(b"id: %d\ndata: ha" % number)
                if action == "break":
                    await self.release.wait()
                return self._abort(http)
            await response.write(event(number))
            if self.pause:
                await asyncio.sleep(self.pause)
        await response.write_eof()
        return response

    def _abort(self, http: web.BaseRequest) -> web.Response:
        assert http.transport is not None
        http.transport.abort()
        return web.Response()

    def _ask_for_rest(self, http: web.BaseRequest) -> web.Response:
        headers = {**self._echo(http), names.NOT_RUN: "1"}
        headers[names.RETRY_AFTER] = f"{self.rest:g}"
        request_id = http.headers[names.REQUEST_ID]
        now = time.monotonic()
        self.rests.append(Rest(now, self.rest, request_id, self.incarnation))
        return web.Response(status=503, headers=headers)

    def _echo(self, http: web.BaseRequest) -> dict[str, str]:
        headers = {names.REQUEST_ID: http.headers[names.REQUEST_ID]}
        if self.says_leaving:
            headers[names.LEAVING] = names.LEAVING_SET
        return headers

    def _signed(self, http: web.BaseRequest) -> dict[str, str]:
        return self._echo(http) | {names.SIGNATURE: f"signed-{self.instance}"}


def event(number: int) -> bytes:
    """Return one event of every stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
"""Body of a stream that is complete."""


async def _true(value: bool) -> bool:
    return value
