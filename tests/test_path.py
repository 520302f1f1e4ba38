"""End-to-end requests through real processes, from the operator to the upstream."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tools.fleet import Fleet


async def test_chat_answer_is_relayed_unchanged(small_fleet: Fleet) -> None:
    body = {"model": "rates", "max_tokens": 20, "stream": True, "messages": []}
    data = json.dumps(body).encode()
    direct_url = small_fleet.url("engine-1", "/v1/chat/completions")
    async with small_fleet.http.post(direct_url, data=data) as resp:
        direct = await resp.read()
    status, answer = await small_fleet.post(
        "entry-1", "/v1/chat/completions", "tellers", data
    )
    assert status == 200
    assert answer == direct
    assert answer.endswith(b"data: [DONE]\n\n")


async def test_service_call_runs_once(small_fleet: Fleet) -> None:
    status, answer = await small_fleet.post(
        "entry-1", "/services/slips/run/a", "tellers", b'{"slip": 1}'
    )
    assert (status, json.loads(answer)) == (200, {"name": "a", "run": 1, "size": 11})
    assert await small_fleet.runs() == {"a": 1}
