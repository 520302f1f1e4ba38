"""Sends the answer of an upstream through the code of each path to a caller."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from aiohttp import web

from leadseam.clock import SystemClock
from leadseam.incarnation import Incarnation
from leadseam.outcome import Reason
from leadseam.platform.headers import PlatformDialect
from leadseam.routing.attempt import Broken, Streaming, Whole, attempt
from leadseam.routing.client import UpstreamClient
from leadseam.routing.dialect import AttemptHead, RoutedRequest
from leadseam.routing.reply import Reply
from leadseam.runtime.connector import LoopConnector
from leadseam.runtime.timeouts import Timeouts
from leadseam.sidecar import upstream as sidecar
from leadseam.wire.dispatch import Chunk, Dispatch, Head
from leadseam.wire.feed import Registration
from tools.ports import LOOPBACK
from tools.waiting import CONDITION_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.control.routes import ReplyForm
    from leadseam.routing.attempt import Ending

REQUEST_ID = "r-1"
CUT = 0
"""Status of a response that broke off."""
DECLINED = 503
BROKEN = 502
REQUEST = RoutedRequest(
    request_id=REQUEST_ID,
    host="a.example",
    method="GET",
    target="/x",
    headers=(),
    key=None,
    max_wait=None,
    parts=(),
    tokens_in=0,
    tokens_out=0,
    resume_after=None,
)


@dataclass(frozen=True, slots=True)
class Received:
    """What a caller got of an answer.

    Args:
        status: Status of the response, or `CUT`.
        body: Its body, or the part that arrived.
        fault: What an entry found wrong with the head; empty if nothing.
    """

    status: int
    body: bytes = b""
    fault: str = ""


class EntryPath:
    """Passes answers of one upstream on as an entry does, without retries.

    Args:
        port: Port of the upstream.
        reply: Form of answers that is due.
    """

    def __init__(self, port: int, reply: ReplyForm) -> None:
        self._port = port
        self._reply = reply
        self._dialect = PlatformDialect()
        self._client = UpstreamClient(SystemClock())
        self._http = aiohttp.ClientSession(connector=LoopConnector())
        self._ending: Ending | None = None

    async def close(self) -> None:
        """Close all connections."""
        await self._http.close()
        await self._client.close()

    async def fetch(self) -> Received:
        """Send a request, and return what its caller gets."""
        runner = web.ServerRunner(web.Server(self._handle))
        await runner.setup()
        try:
            await web.TCPSite(runner, LOOPBACK, 0).start()
            port = runner.addresses[0][1]
            status, body = await self._read(f"http://{LOOPBACK}:{port}/")
        finally:
            await runner.cleanup()
        ending = self._ending
        head = ending.head if isinstance(ending, Broken) else None
        return Received(status, body, head.value if head is not None else "")

    async def _read(self, url: str) -> tuple[int, bytes]:
        body = b""
        try:
            async with self._http.get(url) as resp:
                async for data in resp.content.iter_any():
                    body += data
                return resp.status, body
        except aiohttp.ClientError:
            return CUT, body

    async def _handle(self, http: web.BaseRequest) -> web.StreamResponse:
        ending = self._ending = await self._attempt()
        match ending:
            case Streaming():
                return await self._relay(http, ending)
            case Whole():
                headers = list(ending.headers)
                return web.Response(
                    status=ending.status, headers=headers, body=ending.body
                )
            case Broken():
                return web.Response(status=BROKEN)
            case _:
                return web.Response(status=DECLINED)

    async def _attempt(self) -> Ending:
        upstream = Registration(
            incarnation=Incarnation("i-1"),
            pool="p",
            ip=LOOPBACK,
            port=self._port,
            failure_domain="d",
            slots=4,
            ready=True,
            sequence=1,
        )
        return await attempt(
            self._client,
            self._dialect,
            REQUEST,
            b"",
            upstream=upstream,
            head=AttemptHead("i-1", None, False, 1_000, None),
            repeatable=True,
            reply=self._reply,
            may_send=lambda _: True,
            on_head=lambda *_: None,
        )

    async def _relay(
        self, http: web.BaseRequest, streaming: Streaming
    ) -> web.StreamResponse:
        reply = Reply(
            http,
            prepare=lambda _: None,
            now=lambda: 0,
            last_event=None,
            event_format=self._dialect.event_format,
        )
        ending = self._ending = await reply.relay(streaming, lambda: None)
        if isinstance(ending, Streaming):
            return await reply.end(ending)
        if reply.started:
            reply.abort(Reason.UPSTREAM_BROKEN)
        return web.Response(status=BROKEN)


async def fetch_through_entry(port: int, reply: ReplyForm) -> Received:
    """Return what a caller gets of an upstream's answer through an entry."""
    path = EntryPath(port, reply)
    try:
        return await path.fetch()
    finally:
        await path.close()


async def fetch_through_sidecar(port: int) -> Received:
    """Return what a sidecar passes on of a service's answer."""
    clock = SystemClock()
    address = sidecar.UpstreamAddress(LOOPBACK, port, engine=False)
    client = sidecar.UpstreamClient(address, clock, Timeouts(clock))
    req = Dispatch(1, 1, "bank", "GET", "/x", (), b"", True, 0, 0, 1_000_000)
    sent: list[Head | Chunk] = []
    send: Callable[[Head | Chunk], None] = sent.append
    try:
        async with asyncio.timeout(CONDITION_TIMEOUT):
            final = await client.run(
                req, window=sidecar.Window(req.window), send=send, charge=lambda _: None
            )
    finally:
        await client.close()
    body = b"".join(one.data for one in sent if isinstance(one, Chunk))
    status = next((one.status for one in sent if isinstance(one, Head)), BROKEN)
    return Received(CUT if final.error and status != BROKEN else status, body)
