"""Closed-loop callers that keep their connections open until the entry closes them."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

import aiohttp

from leadseam.platform import names
from leadseam.runtime.connector import DEFAULT_KEEPALIVE_S, LoopConnector
from tools.platform.nodes import HOST, KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.soak.soak_platform import SoakPlatform

ROUTE_TIME_LIMIT = 5.0
"""Time limit of the routes in the test configuration, in seconds."""
CALLER_TIMEOUT = 12.0
"""Seconds after which a caller disconnects, so that a run ends in bounded time."""
CALL_PAUSE = 0.02
"""Seconds between two calls of one caller."""
BODY = b"x" * 300
CALL_PREFIX = "c"
"""Start of the ids of the calls."""
EVENT_END = b"\n\n"
MAX_RESUMED = 2
"""Times that a caller resumes a stream at most."""
RESUME_PAUSE = 1.5
"""Longest time in seconds until a caller resumes a stream that was cut."""


class CallKind(StrEnum):
    """Kind of a call; the values are the routes of the test configuration."""

    ONCE = "once"
    SAFE = "safe"
    STREAM = "stream"
    STREAM_ONCE = "stream-fixed"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is an event stream."""
        return self in (CallKind.STREAM, CallKind.STREAM_ONCE)

    @property
    def service(self) -> str:
        """Service that the route leads to."""
        return "model" if self.is_stream else "plain"

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        return self in (CallKind.SAFE, CallKind.STREAM)


@dataclass(slots=True)
class Call:
    """One request and its result as the caller saw it.

    Args:
        request_id: Identifier of the request.
        kind: Kind of the call.
        entry: Address of the entry that was called.
        start: When it was sent, on the steady clock.
        end: When the last byte arrived or the connection was cut.
        status: HTTP status of the answer; 0 if there was none.
        body: Body of the answer.
        headers: Headers of the answer.
        cut: Whether the connection was cut before the end of the answer.
        resumes: Id of the attempt that brought the first event; empty if this is it.
        received: Whole events that the caller had before.
    """

    request_id: str
    kind: CallKind
    entry: str
    start: float
    end: float = 0.0
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    cut: bool = False
    resumes: str = ""
    received: bytes = b""

    @property
    def events(self) -> bytes:
        """All whole events of the stream so far."""
        end = self.body.rfind(EVENT_END)
        whole = self.body[: end + len(EVENT_END)] if end >= 0 else b""
        return self.received + whole

    @property
    def path(self) -> str:
        """Path of the request."""
        return f"/{self.kind}/{self.request_id}"


class Callers:
    """Callers of all entries in one run.

    Args:
        platform: The nodes, servers and links.
        seed: Seed for the kinds of calls.
        on_call: Called with each finished call.
    """

    def __init__(
        self, platform: SoakPlatform, seed: int, on_call: Callable[[Call], None]
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed)
        self._on_call = on_call
        self._id_numbers = itertools.count(1)
        self._stopping = False

    async def run(self, callers: int) -> None:
        """Run this many callers for each entry until `stop` is called."""
        async with asyncio.TaskGroup() as group:
            for entry in self._platform.entry_ips:
                for _ in range(callers):
                    group.create_task(self._call_until_stopped(entry))

    def stop(self) -> None:
        """Start no new calls."""
        self._stopping = True

    async def _call_until_stopped(self, entry: str) -> None:
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT)
        async with aiohttp.ClientSession(
            connector=LoopConnector(keepalive=DEFAULT_KEEPALIVE_S), timeout=timeout
        ) as http:
            # aiohttp must not resend a request that may run only once.
            http._retry_connection = False
            while not self._stopping:
                kind = self._rng.choice(list(CallKind))
                call = Call(
                    f"{CALL_PREFIX}{next(self._id_numbers)}",
                    kind,
                    entry,
                    time.monotonic(),
                )
                await self.send(http, call)
                self._on_call(call)
                if self._platform.versions > 1:
                    await self._resume(http, call)
                await asyncio.sleep(CALL_PAUSE)

    async def _resume(self, http: aiohttp.ClientSession, call: Call) -> None:
        """Resume a stream that was cut, at any entry."""
        for _ in range(MAX_RESUMED):
            if call.kind is not CallKind.STREAM or not call.cut or not call.events:
                return
            await asyncio.sleep(self._rng.uniform(0, RESUME_PAUSE))
            call = Call(
                f"{CALL_PREFIX}{next(self._id_numbers)}",
                call.kind,
                self._rng.choice(self._platform.entry_ips),
                time.monotonic(),
                resumes=call.resumes or call.request_id,
                received=call.events,
            )
            await self.send(http, call)
            self._on_call(call)

    async def send(self, http: aiohttp.ClientSession, call: Call) -> None:
        """Send a call and record its answer in it."""
        url = f"http://{call.entry}:{self._platform.front_port}{call.path}"
        headers = {
            "Host": HOST,
            names.REQUEST_ID: call.request_id,
            names.AUTHORIZATION: names.BEARER + KEY,
            names.DEADLINE: str(round(ROUTE_TIME_LIMIT * 1_000)),
        }
        if call.resumes:
            headers[names.RESUMES] = call.resumes
            headers[names.LAST_EVENT] = str(call.received.count(EVENT_END))
        try:
            async with http.post(url, data=BODY, headers=headers) as resp:
                call.status, call.headers = resp.status, dict(resp.headers)
                async for data in resp.content.iter_any():
                    call.body += data
        except (aiohttp.ClientError, OSError, TimeoutError):
            call.cut = True
        call.end = time.monotonic()
