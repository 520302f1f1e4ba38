"""HTTP calls that read the cache events of engines. Decides nothing."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import aiohttp
import msgspec
from msgspec import Meta
from yarl import URL

from leadseam.clock import Millis, SystemClock, seconds
from leadseam.feed.cache_watch import CallFailed, CallRefused
from leadseam.feed.prefix_index import CacheEvent, EventPage
from leadseam.platform import names
from leadseam.platform.heartbeat import MAX_INTEGER
from leadseam.routing.client import RoutingConnector, open_session

if TYPE_CHECKING:
    from leadseam.feed.cache_watch import EventAnswer
    from leadseam.wire.feed import Registration

CONNECT_TIMEOUT: Millis = 500
IDLE_LIMIT: Millis = 1_500
"""Idle time up to which a connection is reused; six times the usual pause."""
MAX_PAGE_BYTES = 8 * 1024 * 1024
"""Maximum size of an answer; one of 10,000 events has some 600 KB."""
MAX_TOKEN_CHARS = 64
"""Maximum length of an epoch or a page token, which is sent back in a URL."""
TOO_MANY_CALLS = 429
OK = 200
CLIENT_ERRORS = range(400, 500)


Tokens = Annotated[float, Meta(ge=0, le=MAX_INTEGER)]


class _Event(msgspec.Struct, frozen=True, array_like=True):
    number: int
    sign: str
    unused: str
    part: str
    tokens: Tokens


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    epoch: int | str
    next_page_token: int | str
    lost: bool | int | None = None
    events: tuple[_Event, ...] = ()


class EngineCacheCalls:
    """Implements `leadseam.feed.cache_watch.EventSource`."""

    def __init__(self) -> None:
        self._session: aiohttp.ClientSession | None = None

    async def read(
        self, engine: Registration, cursor: str, wait: Millis
    ) -> EventAnswer:
        """Read the events of an engine since a cursor."""
        if self._session is None:
            connector = RoutingConnector(
                keepalive=seconds(IDLE_LIMIT), clock=SystemClock()
            )
            self._session = open_session(connector, connect_timeout=CONNECT_TIMEOUT)
        url = URL.build(
            scheme="http",
            host=engine.ip,
            port=engine.port,
            path=names.CACHE_EVENTS_PATH,
            query={names.SINCE: cursor},
        )
        headers = {names.WAIT: str(wait)}
        try:
            async with self._session.get(
                url, headers=headers, allow_redirects=False
            ) as answer:
                if answer.status == TOO_MANY_CALLS:
                    return CallRefused()
                if answer.status != OK:
                    return CallFailed(
                        f"status {answer.status}",
                        rejected=answer.status in CLIENT_ERRORS,
                    )
                body = await _read_body(answer)
        except (aiohttp.ClientError, OSError) as exc:
            return CallFailed(type(exc).__name__)
        return _decode(body)

    async def close(self) -> None:
        """Close all connections."""
        if self._session is not None:
            await self._session.close()


async def _read_body(answer: aiohttp.ClientResponse) -> bytes:
    """Read the body of an answer, but no more than one byte beyond the limit."""
    body = bytearray()
    async for data in answer.content.iter_any():
        body += data
        if len(body) > MAX_PAGE_BYTES:
            break
    return bytes(body)


def _decode(body: bytes) -> EventAnswer:
    if len(body) > MAX_PAGE_BYTES:
        return CallFailed("answer too large")
    try:
        page = msgspec.json.decode(body, type=_Page)
    except (msgspec.DecodeError, ValueError, RecursionError) as exc:
        return CallFailed(f"cannot read the answer: {exc}")
    epoch, cursor = str(page.epoch), str(page.next_page_token)
    if max(len(epoch), len(cursor)) > MAX_TOKEN_CHARS:
        return CallFailed("epoch or page token too long")
    events = tuple(
        CacheEvent(one.number, one.part, round(one.tokens)) for one in page.events
    )
    return EventPage(epoch, cursor, bool(page.lost), events)
