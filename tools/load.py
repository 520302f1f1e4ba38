"""A load driver: closed-loop callers of several accounts, and their results."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

import aiohttp

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

STREAM_END = b"data: [DONE]\n\n"
TOKEN_MARKER = b'"delta"'


@dataclass(frozen=True, slots=True)
class AccountLoad:
    """Load of one account.

    Args:
        account: Name of the account.
        callers: Requests that it keeps open at any time.
        entries: Entries that its callers use.
        tokens: Fewest and most tokens of a request.
    """

    account: str
    callers: int
    entries: tuple[str, ...]
    tokens: tuple[int, int]


@dataclass(frozen=True, slots=True)
class RequestResult:
    """Result of one request as its caller saw it.

    Args:
        account: Account that sent it.
        start: When it was sent, in seconds on the monotonic clock.
        first_byte_at: When the first byte arrived, or 0.
        end: When it ended.
        status: HTTP status; 0 for a broken connection.
        complete: Whether the answer was complete.
        tokens: Tokens received.
        code: Stable error code, or empty.
    """

    account: str
    start: float
    first_byte_at: float
    end: float
    status: int
    complete: bool
    tokens: int
    code: str = ""


class Route(Protocol):
    """Sends requests by one path: through an entry, or directly to an upstream."""

    async def __call__(
        self, load: AccountLoad, tokens: int, token_counts: Counter[str]
    ) -> RequestResult:
        """Send one request and return its result; count tokens as they arrive."""


@dataclass(slots=True)
class Driver:
    """Keeps the callers of every account busy until stopped.

    Args:
        loads: Loads of the accounts.
        route: Sends the requests.
        seed: Seed for the sizes of requests.
    """

    loads: Sequence[AccountLoad]
    route: Route
    seed: int = 1
    results: list[RequestResult] = field(default_factory=list)
    stopping: bool = False
    tokens: Counter[str] = field(default_factory=Counter)

    async def run_for(self, seconds: float) -> None:
        """Run all callers for some seconds, then cancel them."""
        callers = [
            asyncio.create_task(self._run_caller(load, number))
            for load in self.loads
            for number in range(load.callers)
        ]
        await asyncio.sleep(seconds)
        self.stopping = True
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)

    async def _run_caller(self, load: AccountLoad, number: int) -> None:
        rng = random.Random(f"{self.seed}/{load.account}/{number}")
        while not self.stopping:
            size = rng.randint(*load.tokens)
            result = await self.route(load, size, self.tokens)
            self.results.append(result)
            if result.status not in (200,):
                await asyncio.sleep(0.1)


def chat_body(model: str, tokens: int) -> bytes:
    """Return the body of a streaming chat request."""
    body = {"model": model, "max_tokens": tokens, "stream": True, "messages": []}
    return json.dumps(body).encode()


async def stream_chat(
    session: aiohttp.ClientSession,
    url: str,
    key: str,
    account: str,
    body: bytes,
    token_counts: Counter[str],
) -> RequestResult:
    """Send a streaming chat request and read its answer to the end.

    Args:
        session: Client session.
        url: URL to send to.
        key: Bearer key.
        account: Account of the key.
        body: Body of the request.
        token_counts: Tokens by account, counted as they arrive.
    """
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    start = time.monotonic()
    first_byte_at = 0.0
    status = 0
    data = bytearray()
    with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
        async with session.post(url, data=body, headers=headers) as resp:
            status = resp.status
            async for part in resp.content.iter_any():
                first_byte_at = first_byte_at or time.monotonic()
                data += part
                token_counts[account] += part.count(TOKEN_MARKER)
    end = time.monotonic()
    complete = status == 200 and data.endswith(STREAM_END)
    tokens = data.count(TOKEN_MARKER)
    code = _error_code(bytes(data)) if status not in (0, 200) else ""
    return RequestResult(
        account, start, first_byte_at, end, status, complete, tokens, code
    )


def _error_code(data: bytes) -> str:
    with contextlib.suppress(ValueError, KeyError, TypeError):
        return str(json.loads(data)["error"]["code"])
    return "unreadable"


def entry_route(
    session: aiohttp.ClientSession, urls: dict[str, str], model: str
) -> Route:
    """Return a route through entries, which each account uses in turn."""
    turns: dict[str, int] = {}

    async def send(
        load: AccountLoad, tokens: int, token_counts: Counter[str]
    ) -> RequestResult:
        turn = turns.get(load.account, 0)
        turns[load.account] = turn + 1
        url = urls[load.entries[turn % len(load.entries)]]
        key = f"key-{load.account}"
        body = chat_body(model, tokens)
        return await stream_chat(session, url, key, load.account, body, token_counts)

    return send


def push_route(
    session: aiohttp.ClientSession,
    upstreams: Sequence[str],
    model: str,
    choose: Callable[[dict[str, int]], str],
) -> Route:
    """Return a route directly to upstreams, each chosen when a request arrives.

    This is what an entry would do that pushes work instead of binding it late.

    Args:
        session: Client session.
        upstreams: URLs of the upstreams.
        model: Model to request.
        choose: Chooses a URL by the number of requests in flight at each, as known to
            one entry.
    """
    in_flight: dict[str, dict[str, int]] = {}

    async def send(
        load: AccountLoad, tokens: int, token_counts: Counter[str]
    ) -> RequestResult:
        entry = load.entries[0]
        counts = in_flight.setdefault(entry, dict.fromkeys(upstreams, 0))
        url = choose(counts)
        counts[url] += 1
        body = chat_body(model, tokens)
        try:
            return await stream_chat(session, url, "", load.account, body, token_counts)
        finally:
            counts[url] -= 1

    return send


def choose_least_in_flight(counts: dict[str, int]) -> str:
    """Return the upstream with the fewest requests of this entry in flight."""
    return min(counts, key=lambda url: (counts[url], random.random()))


def choose_random(counts: dict[str, int]) -> str:
    """Return a random upstream."""
    return random.choice(list(counts))
