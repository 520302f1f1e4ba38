"""Callers who keep their connections open until the entry is gone."""

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
from leadseam.runtime.connector import KEEPALIVE_S, LoopConnector
from tools.platform.nodes import HOST, KEY

if TYPE_CHECKING:
    from collections.abc import Callable

    from tools.soak.soak_platform import SoakPlatform

ROUTE_TIME_LIMIT = 5.0
"""Seconds after which a route of the test document ends a request."""
CALLER_TIMEOUT = 12.0
"""Seconds after which a caller hangs up, so that a run comes to its end."""
CALL_PAUSE = 0.02
"""Seconds between two calls of a caller."""
BODY = b"x" * 300


class CallKind(StrEnum):
    """What a caller asks for, named as the routes of the test document."""

    ONCE = "once"
    SAFE = "safe"
    STREAM = "stream"
    STREAM_ONCE = "stream-fixed"

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a sequence of events."""
        return self in (CallKind.STREAM, CallKind.STREAM_ONCE)

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self in (CallKind.SAFE, CallKind.STREAM)


@dataclass(slots=True)
class Call:
    """One request and all that its caller saw.

    Args:
        request_id: Its identifier.
        kind: What was asked for.
        entry: Entry that was called.
        start: When it was sent, on the steady clock.
        end: When the last byte came or the connection was cut.
        status: Status of the answer; 0 without one.
        body: Bytes of the answer's body.
        headers: The answer's headers.
        cut: Whether the connection was cut before the answer's end.
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

    @property
    def path(self) -> str:
        """The path that was asked for."""
        return f"/{self.kind}/{self.request_id}"


class Callers:
    """Callers of one run.

    Args:
        platform: The nodes, servers and links.
        seed: Seed of their choices.
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
        """Call each entry from so many callers until told to stop."""
        async with asyncio.TaskGroup() as group:
            for entry in self._platform.entry_ips:
                for _ in range(callers):
                    group.create_task(self._call_until_stopped(entry))

    def stop(self) -> None:
        """Send nothing more."""
        self._stopping = True

    async def _call_until_stopped(self, entry: str) -> None:
        timeout = aiohttp.ClientTimeout(total=CALLER_TIMEOUT)
        async with aiohttp.ClientSession(
            connector=LoopConnector(keepalive=KEEPALIVE_S), timeout=timeout
        ) as http:
            # A request that must not repeat is never sent again by the library.
            http._retry_connection = False
            while not self._stopping:
                kind = self._rng.choice(list(CallKind))
                call = Call(f"c{next(self._id_numbers)}", kind, entry, time.monotonic())
                await self.send(http, call)
                self._on_call(call)
                await asyncio.sleep(CALL_PAUSE)

    async def send(self, http: aiohttp.ClientSession, call: Call) -> None:
        """Make a call and note what came back."""
        url = f"http://{call.entry}:{self._platform.front_port}{call.path}"
        headers = {
            "Host": HOST,
            names.REQUEST_ID: call.request_id,
            names.AUTHORIZATION: names.BEARER + KEY,
            names.DEADLINE: str(round(ROUTE_TIME_LIMIT * 1_000)),
        }
        try:
            async with http.post(url, data=BODY, headers=headers) as resp:
                call.status, call.headers = resp.status, dict(resp.headers)
                async for data in resp.content.iter_any():
                    call.body += data
        except (aiohttp.ClientError, OSError, TimeoutError):
            call.cut = True
        call.end = time.monotonic()
