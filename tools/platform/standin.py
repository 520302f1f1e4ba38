"""Stand-in for the platform's servers, which registers itself with heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import re
import socket
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp import web
from multidict import CIMultiDict

from leadseam.platform import names
from leadseam.platform.headers import read_parts
from leadseam.runtime.sockets import reset_connection
from leadseam.standin.answer_plans import AnswerPlan, Finish
from leadseam.standin.endless_answers import Endless, endless_answer
from leadseam.standin.spoilt_streams import spoil_stream
from tools.platform.operator import open_session, post_bytes
from tools.platform.pauses import Arrival, Pause
from tools.spoil.mutations import Mutation
from tools.waiting import wait_until

if TYPE_CHECKING:
    from collections.abc import Sequence

    from aiohttp.abc import AbstractStreamWriter
    from aiohttp.http_parser import RawRequestMessage
    from aiohttp.streams import StreamReader
    from aiohttp.web_protocol import RequestHandler

    from tools.spoil.spoiler import Spoiler

HEARTBEAT = 0.1
"""Seconds between two heartbeats of a server, as in the settings of the nodes."""
EVENTS = 6
"""Number of events in each stream."""
LARGE_BODY = b"\nid: 7\n" * 300_000
"""Body of a plain response that is passed on before it is complete: 2.1 MB."""
MAX_ENDLESS_BYTES = 256 * 1024 * 1024
"""Bytes after which a server stops to send an answer without end."""
PLAIN_BODY = b'{"slip": "printed", "copies": 1}'
"""Body of a plain answer that is sent as planned."""
SPOILT_EVENT = b"data: none\n\n"
"""Event without an id, which a stream may have in its middle."""
LARGE_BODY_START = 1_400_000
"""Bytes of it that are sent at once."""
MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_HEADERS = 16_384
"""Header lines of a request that a server takes: as many as fit into a legal head."""
HEALTH_PATH = "/healthz"
_instances = itertools.count(1)
_planned: set[str] = set()
"""Requests that were answered by their plan; a further attempt is answered whole."""


@dataclass
class Run:
    """A request that a server ran.

    Args:
        request_id: Identifier of the request.
        method: HTTP method.
        target: Path and query as sent.
        body: Bytes of the body.
        headers: All headers as received.
        ended: How it ended: `done`, `cancelled`, or empty while it runs.
        at: When its body had been read, on the monotonic clock.
    """

    request_id: str
    method: str
    target: str
    body: bytes
    headers: CIMultiDict[str]
    ended: str = ""
    at: float = field(default_factory=time.monotonic)


def next_event(http: web.BaseRequest) -> int:
    """Return the number of the first event to send; an unreadable id is ignored."""
    value = http.headers.get(names.LAST_EVENT, "")
    return int(value) + 1 if re.fullmatch(r"[0-9]{1,18}", value) else 1


@dataclass
class Server:
    """One server, whose behavior can be set by path.

    Args:
        ip: Address that it listens on.
        port: Port that it listens on.
        service: Service that it registers for.
        controls: Control boxes that heartbeats go to, in turn.
        slots: Requests that it takes at a time.
        instance: Id under which it registers.
        actions: Action for a request, by the last component of its path.
        runs: Requests that it ran.
        release: Set to let requests continue that an action holds.
        state: State that it reports in heartbeats.
        acks: Number of heartbeats that were acknowledged.
        advertised: Address that it registers. Defaults to where it listens.
        delay: Seconds between events, and before a plain response.
        default_action: Action for paths that `actions` does not list.
        born: When it started, in Unix milliseconds; None to leave it out of heartbeats.
        left_at: When its leaving was acknowledged, on the monotonic clock, or None.
        restart_delay: Seconds from a crash to the next start: as another incarnation,
            under a new id or, if it reports its starts, under the one that it had.
        crashes: Requests that have crashed it.
        zone: Failure domain that it reports.
        cold: Milliseconds for which it reports that it is cold.
        pause_length: Seconds of the pause that it asks for when it refuses a request.
        pauses: Refusals with which it has asked for a pause.
        arrivals: Requests that have reached it, whether or not they ran.
        announces_leaving: Whether its responses announce that it is about to stop.
        version: Version of its software.
        names_version: Whether events of streams name that version.
        breaks_every: Of so many requests one breaks off in the middle of a stream; 0
            for none.
        broken_off: Requests whose streams it broke off for that, or whose answers it
            mutated.
        silent_for: Seconds from a start to the first heartbeat.
        unframed_every: Of so many answers one ends with its connection, without a
            length or chunks; 0 for none.
        deadly_parts: Identities of prompt parts that crash it once it begins an answer.
        events_before_crash: Events that it sends before such a crash, behind the head.
        endless_bytes: Bytes sent of answers without end, by kind.
        part_arrivals: Requests with such parts that reached it.
        spoiler: Answers some requests, with mutations; None if all answers are sound.
        port_open_for: Seconds for which its port still accepts connections after a
            crash has closed the others.
    """

    ip: str
    port: int
    service: str
    controls: Sequence[str]
    slots: int = 4
    instance: str = field(default_factory=lambda: f"i-{next(_instances)}")
    actions: dict[str, str] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)
    release: asyncio.Event = field(default_factory=asyncio.Event)
    state: str = "ready"
    acks: int = 0
    advertised: str = ""
    delay: float = 0.0
    default_action: str = "answer"
    left_at: float | None = None
    born: int | None = None
    restart_delay: float = 0.6
    crashes: list[Run] = field(default_factory=list)
    zone: str = "a"
    cold: int = 0
    pause_length: float = 0.0
    pauses: list[Pause] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    announces_leaving: bool = False
    version: str = "v1"
    names_version: bool = False
    breaks_every: int = 0
    broken_off: set[str] = field(default_factory=set)
    silent_for: float = 0.0
    unframed_every: int = 0
    deadly_parts: set[str] = field(default_factory=set)
    events_before_crash: int = 0
    endless_bytes: Counter[str] = field(default_factory=Counter)
    part_arrivals: list[Arrival] = field(default_factory=list)
    port_open_for: float = 0.0
    spoiler: Spoiler | None = None

    async def start(self) -> None:
        """Serve, and send heartbeats."""
        self._server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            max_headers=MAX_HEADERS,
        )
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, self.port).start()
        self._session = open_session()
        self._heartbeats = asyncio.create_task(self._send_heartbeats())
        self._restarting: asyncio.Task[None] | None = None
        self._stopped = False

    async def stop(self) -> None:
        """Stop without announcing it."""
        self._stopped = True
        if self._restarting is not None and not self._restarting.done():
            self._restarting.cancel()
            await asyncio.wait([self._restarting])
        await self._end()

    async def _end(self) -> None:
        self._heartbeats.cancel()
        await self._session.close()
        await self._runner.cleanup()

    @property
    def is_up(self) -> bool:
        """Whether it serves."""
        return self._restarting is None or self._restarting.done()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.connections)

    @property
    def incarnation(self) -> str:
        """Identifier of this start of the server."""
        return f"{self.instance}@{self.born or 0}"

    def crash(self) -> bool:
        """End all connections and tasks at once, and restart after a delay.

        Returns:
            Whether it was up. A server that was stopped for good must not restart: its
            successor may use the same address.
        """
        if self._stopped or not self.is_up:
            return False
        self._close_port()
        _abort_all(self._server)
        self._restarting = asyncio.create_task(self._restart())
        return True

    async def succeed(self) -> None:
        """Start again under a new id before the connections of this start are closed.

        A killed process may close its port first, and its successor may listen there
        before the kernel has closed the other sockets.
        """
        runner, server = self._runner, self._server
        self._heartbeats.cancel()
        await self._session.close()
        self._close_port()
        await wait_until(self._is_port_free, "the port is free")
        self.instance = f"i-{next(_instances)}"
        await self.start()
        _abort_all(server)
        await runner.cleanup()

    def _close_port(self) -> None:
        """Close the listening socket at once; `_end` awaits the remaining cleanup."""
        for site in list(self._runner.sites):
            server = site._server
            if server is None:
                continue
            if self.port_open_for:
                # A copy of the descriptor keeps the port open.
                loop = asyncio.get_running_loop()
                for sock in server.sockets:  # type: ignore[attr-defined]
                    loop.call_later(self.port_open_for, os.close, os.dup(sock.fileno()))
            server.close()

    async def _is_port_free(self) -> bool:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind((self.ip, self.port))
                sock.listen()
            except OSError:
                return False
        return True

    async def _restart(self) -> None:
        await self._end()
        await asyncio.sleep(self.restart_delay)
        if self.born is None:
            self.instance = f"i-{next(_instances)}"
        else:
            self.born = time.time_ns() // 1_000_000
        # What it announced before does not apply to this start.
        self.state = "ready"
        self.announces_leaving = False
        self.left_at = None
        await self.start()

    async def drain(self) -> None:
        """Announce a planned end, and wait for the acknowledgement.

        A server that crashes meanwhile has to announce it again after its restart.
        """
        announced = ""
        acks = self.acks

        async def acknowledged() -> bool:
            nonlocal announced, acks
            if self.incarnation != announced or not self.is_up:
                announced, acks = self.incarnation, self.acks
                self.state = "draining"
            return self.acks > acks + 1

        await wait_until(acknowledged, "leaving is acknowledged")

    def count(self, request_id: str) -> int:
        """Return how often a request ran here."""
        return sum(run.request_id == request_id for run in self.runs)

    async def _send_heartbeats(self) -> None:
        await asyncio.sleep(self.silent_for)
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
        """Send a leave call for one of its starts, and return the status.

        Args:
            born: Start time that leaves. Defaults to the current one.
        """
        born = self.born if born is None else born
        body = {} if born is None else {"born": born}
        path = names.LEAVE_PATH.format(instance=self.instance)
        return await post_bytes(self.controls[0], path, json.dumps(body).encode())

    def heartbeat(self, sequence: int) -> dict[str, Any]:
        """Return the body of a heartbeat."""
        start_time = {} if self.born is None else {"born": self.born}
        return start_time | {
            "service": self.service,
            "address": self.advertised or f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": self.cold,
            "sequence": sequence,
        }

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        if http.headers.get(names.EXPECT_INSTANCE) != self.instance:
            return web.Response(status=421, headers=self._base_headers(http))
        if http.path == HEALTH_PATH:
            status = 200 if self.state == names.READY else 503
            return web.Response(status=status, headers={names.INSTANCE: self.instance})
        request_id = http.headers[names.REQUEST_ID]
        self.arrivals.append(Arrival(request_id, self.incarnation))
        action = self.actions.get(http.path.rsplit("/", 1)[-1], self.default_action)
        if self._has_deadly_part(http):
            self.part_arrivals.append(self.arrivals[-1])
            action = "crash_in_answer"
        if action == "misdirected":
            return web.Response(status=421, headers=self._base_headers(http))
        if action == "full":
            headers = {**self._base_headers(http), names.NOT_RUN: "1"}
            return web.Response(status=503, headers=headers)
        if action == "rest":
            return self._ask_for_pause(http)
        run = Run(
            request_id,
            http.method,
            http.raw_path,
            await http.read(),
            http.headers.copy(),
        )
        self.runs.append(run)
        try:
            response = await self._run_action(http, action)
        except asyncio.CancelledError:
            run.ended = "cancelled"
            raise
        run.ended = "done"
        return response

    def _has_deadly_part(self, http: web.BaseRequest) -> bool:
        parts = read_parts(http.headers.get(names.PROMPT_PARTS, ""))
        return any(part.identity in self.deadly_parts for part in parts)

    async def _run_action(
        self, http: web.BaseRequest, action: str
    ) -> web.StreamResponse:
        request_id = http.headers[names.REQUEST_ID]
        if self.spoiler is not None and self.spoiler.answers(request_id):
            response, mutation = self.spoiler.answer(
                http, self._signed_headers(http), lost=action == "lose"
            )
            if mutation is not Mutation.NONE:
                self.broken_off.add(request_id)
            return response
        plan = AnswerPlan.parse(http.path.rsplit("/", 1)[-1])
        if plan is not None:
            return await self._follow_plan(http, plan)
        if action in list(Endless):
            return await self._send_endless(http, Endless(action))
        match action:
            case "reset":
                return self._abort(http)
            case "crash":
                self.crashes.append(self.runs[-1])
                self.crash()
                raise asyncio.CancelledError
            case "hold":
                await self.release.wait()
                return await self._answer(http)
            case "unsigned":
                return web.Response(body=b"x", headers=self._base_headers(http))
            case "foreign":
                signed = self._signed_headers(http) | {names.REQUEST_ID: "another"}
                return web.Response(body=b"x", headers=signed)
            case "encoded":
                encoded = self._signed_headers(http) | {"Content-Encoding": "gzip"}
                return web.Response(body=b"x", headers=encoded)
            case "mistyped":
                return web.Response(
                    body=WHOLE_STREAM, headers=self._signed_headers(http)
                )
            case "error":
                return web.Response(status=500, headers=self._signed_headers(http))
            case "large":
                return await self._large(http)
            case _ if "stream" in http.path:
                return await self._stream(http, action)
            case "lose":
                await asyncio.sleep(self.delay)
                return self._abort(http)
            case _:
                await asyncio.sleep(self.delay)
                return await self._answer(http)

    async def _follow_plan(
        self, http: web.BaseRequest, plan: AnswerPlan
    ) -> web.StreamResponse:
        """Send an answer as its path plans it, and a further attempt whole."""
        request_id = http.headers[names.REQUEST_ID]
        if request_id in _planned:
            plan = AnswerPlan(plan.framing, crlf=plan.crlf)
        _planned.add(request_id)
        transport = http.transport
        assert transport is not None
        status, headers, body = self._planned_answer(http, plan)
        transport.write(plan.encode(status, headers, body))
        match plan.finish:
            case Finish.HOLD:
                await self.release.wait()
            case Finish.CRASH:
                self.crashes.append(self.runs[-1])
                self.crash()
                raise asyncio.CancelledError
        plan.finish_connection(http)
        return web.Response()

    def _planned_answer(
        self, http: web.BaseRequest, plan: AnswerPlan
    ) -> tuple[int, dict[str, str], bytes]:
        headers = self._signed_headers(http)
        if "stream" in http.path:
            first = next_event(http)
            body = b"".join(event(number) for number in range(first, EVENTS + 1))
            body = spoil_stream(body, plan.spoil)
            headers["Content-Type"] = "text/event-stream"
            return 200, headers, body.replace(b"\n", b"\r\n") if plan.crlf else body
        if "/large/" in http.path:
            return 200, headers, LARGE_BODY
        return 500 if "/failure/" in http.path else 200, headers, PLAIN_BODY

    async def _send_endless(
        self, http: web.BaseRequest, kind: Endless
    ) -> web.StreamResponse:
        """Send bytes without end until the connection is closed, or very many."""
        headers = self._signed_headers(http)
        if kind in (Endless.EVENT, Endless.COMMENTS):
            headers["Content-Type"] = "text/event-stream"
        if kind is Endless.DECLINED:
            headers[names.NOT_RUN] = "1"
        answer = endless_answer(kind, headers)
        transport = http.transport
        assert transport is not None
        transport.write(answer.start)
        while not transport.is_closing():
            if self.endless_bytes[kind] >= MAX_ENDLESS_BYTES:
                break
            transport.write(answer.block)
            self.endless_bytes[kind] += len(answer.block)
            await http.protocol._drain_helper()
            await asyncio.sleep(0)
        return self._abort(http)

    async def _answer(self, http: web.BaseRequest) -> web.StreamResponse:
        body = f"{self.instance} {http.raw_path}".encode()
        headers = self._signed_headers(http)
        if not self._is_unframed:
            return web.Response(body=body, headers=headers)
        response = UnframedResponse(headers=headers)
        await response.prepare(http)
        await response.write(body)
        return response

    @property
    def _is_unframed(self) -> bool:
        """Whether the answer of the latest run has no length and no chunks."""
        every = self.unframed_every
        return bool(every) and len(self.runs) % every == 0

    async def _large(self, http: web.BaseRequest) -> web.StreamResponse:
        """Send the start of a large body, and the remainder once it is released."""
        headers = {**self._signed_headers(http), "Content-Type": "application/json"}
        response = web.StreamResponse(headers=headers)
        response.content_length = len(LARGE_BODY)
        await response.prepare(http)
        await response.write(LARGE_BODY[:LARGE_BODY_START])
        await self.release.wait()
        await response.write(LARGE_BODY[LARGE_BODY_START:])
        await response.write_eof()
        return response

    async def _stream(self, http: web.BaseRequest, action: str) -> web.StreamResponse:
        headers = {**self._signed_headers(http), "Content-Type": "text/event-stream"}
        response: web.StreamResponse
        if self._is_unframed:
            response = UnframedResponse(headers=headers)
        else:
            response = web.StreamResponse(headers=headers)
            response.enable_chunked_encoding()
        await response.prepare(http)
        first = next_event(http)
        if self.breaks_every and len(self.runs) % self.breaks_every == 0:
            action = "lose"
            self.broken_off.add(http.headers[names.REQUEST_ID])
        for number in range(first, EVENTS + 1):
            if (
                action == "crash_in_answer"
                and number - first >= self.events_before_crash
            ):
                self.crashes.append(self.runs[-1])
                self.crash()
                raise asyncio.CancelledError
            if action == "pause" and number == EVENTS // 2:
                await self.release.wait()
            if action == "spoil" and first <= EVENTS // 2 < number:
                await response.write(SPOILT_EVENT)
                await self.release.wait()
            if action in ("break", "lose") and number == EVENTS // 2:
                await response.write(b"id: %d\ndata: ha" % number)
                if action == "break":
                    await self.release.wait()
                if self._is_unframed and len(self.runs) % 4:
                    assert http.transport is not None
                    reset_connection(http.transport)
                return self._abort(http)
            version = self.version if self.names_version else ""
            await response.write(event(number, version))
            if self.delay:
                await asyncio.sleep(self.delay)
        await response.write_eof()
        return response

    def _abort(self, http: web.BaseRequest) -> web.Response:
        assert http.transport is not None
        http.transport.abort()
        return web.Response()

    def _ask_for_pause(self, http: web.BaseRequest) -> web.Response:
        headers = {**self._base_headers(http), names.NOT_RUN: "1"}
        headers[names.RETRY_AFTER] = f"{self.pause_length:g}"
        request_id = http.headers[names.REQUEST_ID]
        now = time.monotonic()
        self.pauses.append(Pause(now, self.pause_length, request_id, self.incarnation))
        return web.Response(status=503, headers=headers)

    def _base_headers(self, http: web.BaseRequest) -> dict[str, str]:
        request_id = http.headers.get(names.REQUEST_ID)
        headers = {} if request_id is None else {names.REQUEST_ID: request_id}
        if self.announces_leaving:
            headers[names.LEAVING] = names.LEAVING_VALUE
        return headers

    def _signed_headers(self, http: web.BaseRequest) -> dict[str, str]:
        return self._base_headers(http) | {names.SIGNATURE: f"signed-{self.instance}"}


def _make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: RequestHandler,
    writer: AbstractStreamWriter,
    task: asyncio.Task[None],
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        task.get_loop(),
        client_max_size=MAX_BODY_BYTES,
    )


def _abort_all(server: web.Server) -> None:
    """Close all connections of a server at once."""
    for conn in list(server.connections):
        if conn.transport is not None:
            conn.transport.abort()


class UnframedResponse(web.StreamResponse):
    """A response that ends with its connection, without a length or chunks."""

    _length_check = False

    def __init__(self, *, headers: dict[str, str]) -> None:
        super().__init__(headers=headers)
        self.force_close()


def event(number: int, version: str = "") -> bytes:
    """Return the encoded event of a number; the same in all streams of a version."""
    piece = f"piece {number} {version}".rstrip()
    return f"id: {number}\ndata: {piece}\n\n".encode()


WHOLE_STREAM = b"".join(event(number) for number in range(1, EVENTS + 1))
"""Body of a complete stream."""
