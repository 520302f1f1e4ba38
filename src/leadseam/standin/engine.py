"""A fake model engine with OpenAI-style completions, a token rate and batch slots."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any

from aiohttp import web

from leadseam.clock import Millis, SystemClock, sleep

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

DEFAULT_TOKENS = 16
PROMPT_TOKEN_CHARS = 4
SPOILT_BLOCKS = {
    "rubbish": bytes(range(128, 218)) + b"\n\n",
    "no_json": b"data: none\n\n",
    "cut_json": b'data: {"choices": [\n\n',
    "no_object": b'data: "t0"\n\n',
    "no_data": b"event: token\n\n",
    "early_done": b"data: [DONE]\n\n",
}
"""Blocks that an engine sends in the middle of a stream, by mode."""
SPOILT_WORD = "t1 "
"""Word behind which it sends them."""


class EngineStandin:
    """Answers each request with `max_tokens` tokens, `t0 t1 ...`.

    Args:
        slots: Number of requests that run concurrently; further ones wait.
        token_interval: Milliseconds between tokens.
    """

    def __init__(self, *, slots: int, token_interval: Millis) -> None:
        self.mode = "normal"
        self.started = 0
        self._busy = 0
        self._busy_time: Millis = 0
        self._busy_changed: Millis = 0
        self._clock = SystemClock()
        self.cancelled = 0
        self._batch = asyncio.Semaphore(slots)
        self._token_interval = token_interval

    def routes(self) -> list[web.AbstractRouteDef]:
        """Return the HTTP routes of the engine."""
        return [
            web.post("/v1/chat/completions", self._complete),
            web.post("/v1/completions", self._complete),
            web.get("/health", self._health),
            web.get("/standin", self._show),
            web.put("/standin/mode/{mode}", self._set_mode),
        ]

    async def _health(self, _: web.Request) -> web.Response:
        if self.mode == "hang":
            await asyncio.Event().wait()
        return web.json_response({}, status=503 if self.mode == "dead" else 200)

    async def _show(self, _: web.Request) -> web.Response:
        self._add_busy_time(0)
        values = {
            "started": self.started,
            "cancelled": self.cancelled,
            "busy": self._busy,
            "busy_time": self._busy_time,
        }
        return web.json_response(values)

    async def _set_mode(self, http: web.Request) -> web.Response:
        self.mode = http.match_info["mode"]
        return web.json_response({})

    async def _complete(self, http: web.Request) -> web.StreamResponse:
        body = await http.json()
        self.started += 1
        match self.mode:
            case "hang":
                await asyncio.Event().wait()
            case "garbage":
                assert http.transport is not None
                http.transport.write(b"\x00garbage\r\n\r\n")
                http.transport.close()
            case "dead" | "refuse":
                return web.json_response({"error": "dead"}, status=503)
        try:
            async with self._batch:
                self._add_busy_time(1)
                try:
                    return await self._answer(http, body)
                finally:
                    self._add_busy_time(-1)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    def _add_busy_time(self, change: int) -> None:
        """Add the busy time since the last change, then change the busy slots."""
        now = self._clock.now()
        self._busy_time += self._busy * (now - self._busy_changed)
        self._busy_changed = now
        self._busy += change

    async def _answer(
        self, http: web.Request, body: dict[str, Any]
    ) -> web.StreamResponse:
        count = int(body.get("max_tokens", DEFAULT_TOKENS))
        prompt = len(json.dumps(body.get("messages", ""))) // PROMPT_TOKEN_CHARS
        usage = {"prompt_tokens": prompt, "completion_tokens": count}
        if body.get("stream"):
            return await self._stream(http, count, usage)
        words = [word async for word in self._tokens(count)]
        message = {"role": "assistant", "content": "".join(words)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        answer = {"object": "chat.completion", "choices": [choice], "usage": usage}
        return web.json_response(answer)

    async def _stream(
        self, http: web.Request, count: int, usage: dict[str, int]
    ) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(http)
        async for word in self._tokens(count):
            choice = {"index": 0, "delta": {"content": word}}
            await response.write(_event({"choices": [choice]}))
            if word == SPOILT_WORD and self.mode in SPOILT_BLOCKS:
                await response.write(SPOILT_BLOCKS[self.mode])
            if self.mode == "cut":
                assert http.transport is not None
                http.transport.abort()
        await response.write(_event({"choices": [], "usage": usage}))
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()
        return response

    async def _tokens(self, count: int) -> AsyncIterator[str]:
        for number in range(count):
            await sleep(self._token_interval)
            yield f"t{number} "


def _event(data: dict[str, Any]) -> bytes:
    return b"data: " + json.dumps(data).encode() + b"\n\n"
