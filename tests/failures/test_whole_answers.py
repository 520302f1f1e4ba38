"""Each caller gets the complete answer to its own request, or an explicit error."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

import aiohttp

from tools.faults import proxy_sidecar
from tools.ports import LOOPBACK
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.fleet import Fleet

MODEL = "rates"
DONE = b"data: [DONE]\n\n"


def describe(fleet: Fleet, *, engines: int = 1, interval: int = 3) -> None:
    """Configure a pool of engines and one entry."""
    fleet.add_control()
    fleet.add_pool("rates-1", model=MODEL)
    for number in range(1, engines + 1):
        fleet.add_upstream(
            f"engine-{number}",
            pool="rates-1",
            kind="engine",
            slots=8,
            token_interval=interval,
        )
    fleet.add_account("tellers", models=(MODEL,))
    fleet.add_entry("entry-1")


async def set_mode(fleet: Fleet, engine: str, mode: str) -> None:
    """Set the failure mode of an engine, or `normal`."""
    async with fleet.http.put(fleet.url(engine, f"/standin/mode/{mode}")) as resp:
        assert resp.status == 200


async def send_chat(fleet: Fleet, tokens: int) -> tuple[bool, bytes]:
    """Send a chat; return whether the HTTP response ended normally, and its bytes."""
    data = bytearray()
    body = {"model": MODEL, "max_tokens": tokens, "stream": True, "messages": []}
    url = fleet.url("entry-1", "/v1/chat/completions")
    headers = {"Authorization": "Bearer key-tellers"}
    try:
        async with fleet.http.post(url, json=body, headers=headers) as resp:
            async for part in resp.content.iter_any():
                data += part
            return resp.status == 200, bytes(data)
    except aiohttp.ClientError:
        return False, bytes(data)


def words(data: bytes) -> list[str]:
    """Extract the words of a streamed answer."""
    found = []
    for line in data.splitlines():
        if line.startswith(b"data: {") and b'"delta"' in line:
            chunk = json.loads(line[6:])
            found.append(chunk["choices"][0]["delta"]["content"].strip())
    return found


def expected(tokens: int) -> list[str]:
    """Return the words of a complete answer with so many tokens."""
    return [f"t{number}" for number in range(tokens)]


async def test_concurrent_answers_on_one_link_are_not_mixed_up(fleet: Fleet) -> None:
    describe(fleet, interval=1)
    await fleet.start_all()
    sizes = [1 + (7 * number) % 90 for number in range(120)]
    answers = await asyncio.gather(*(send_chat(fleet, size) for size in sizes))
    for size, (whole, data) in zip(sizes, answers, strict=True):
        assert whole
        assert words(data) == expected(size)
        assert data.endswith(DONE)


async def test_link_cut_in_mid_stream_never_looks_complete(fleet: Fleet) -> None:
    describe(fleet)
    link = await proxy_sidecar(fleet, "engine-1")
    await fleet.start_all()
    asked = asyncio.gather(*(send_chat(fleet, 40 + number) for number in range(24)))
    while not asked.done():
        await link.cut()
        await asyncio.sleep(0.3)
    for number, (whole, data) in enumerate(await asked):
        if whole and data.endswith(DONE):
            assert words(data) == expected(40 + number)
        else:
            assert not whole or b'"outcome"' in data


async def test_upstream_cut_in_mid_stream_is_an_explicit_error(fleet: Fleet) -> None:
    describe(fleet)
    await fleet.start_all()
    await set_mode(fleet, "engine-1", "cut")
    whole, data = await send_chat(fleet, 30)
    assert not whole
    assert DONE not in data
    assert b"event: error" in data


async def test_failure_before_the_first_byte_is_retried_elsewhere(fleet: Fleet) -> None:
    describe(fleet, engines=2)
    await fleet.start_all()
    await set_mode(fleet, "engine-1", "garbage")
    for _ in range(10):
        whole, data = await send_chat(fleet, 5)
        assert whole
        assert words(data) == expected(5)
    await wait_until(lambda: is_out_after_chats(fleet), "engine-1 is taken out")
    await set_mode(fleet, "engine-1", "normal")
    await wait_until(
        lambda: is_in_service(fleet, "engine-1"), "engine-1 is back in service"
    )


async def test_hanging_upstream_is_taken_out_and_its_work_moves(fleet: Fleet) -> None:
    describe(fleet, engines=2)
    await fleet.start_all()
    await set_mode(fleet, "engine-1", "hang")
    answers = await asyncio.gather(*(send_chat(fleet, 5) for _ in range(8)))
    assert all(whole and words(data) == expected(5) for whole, data in answers)


async def test_slow_caller_does_not_stall_others(fleet: Fleet) -> None:
    describe(fleet, interval=0)
    await fleet.start_all()
    body = json.dumps(
        {"model": MODEL, "max_tokens": 60_000, "stream": True, "messages": []}
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer key-tellers\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    port = fleet.nodes["entry-1"].admin
    reader, writer = await asyncio.open_connection(LOOPBACK, port, limit=1_024)
    writer.write(head.encode() + body)
    await reader.readexactly(512)
    for _ in range(20):
        whole, data = await send_chat(fleet, 10)
        assert whole
        assert words(data) == expected(10)
    writer.close()
    await wait_until(lambda: is_idle(fleet, "engine-1"), "the slow caller's work ended")


async def test_caller_that_disconnects_frees_its_slot(fleet: Fleet) -> None:
    describe(fleet, interval=50)
    await fleet.start_all()
    task = asyncio.create_task(send_chat(fleet, 10_000))
    await wait_until(lambda: is_busy(fleet, "engine-1"), "engine-1 is busy")
    task.cancel()
    await wait_until(lambda: is_idle(fleet, "engine-1"), "the work was cancelled")


async def is_out_after_chats(fleet: Fleet) -> bool:
    """Send further chats; return whether the first engine gets no more work."""
    for whole, data in await asyncio.gather(*(send_chat(fleet, 5) for _ in range(4))):
        assert whole
        assert words(data) == expected(5)
    return await is_out(fleet, "engine-1")


async def is_out(fleet: Fleet, engine: str) -> bool:
    """Return whether the entry considers an engine's sidecar unusable."""
    values = await fleet.metric("entry-1", "sidecar_usable")
    return values[f'upstream="{engine}"'] == 0.0


async def is_in_service(fleet: Fleet, engine: str) -> bool:
    """Return whether the entry considers an engine's sidecar usable again."""
    return not await is_out(fleet, engine)


async def busy(fleet: Fleet, engine: str) -> int:
    """Return the number of requests in an engine's batch."""
    async with fleet.http.get(fleet.url(engine, "/standin")) as resp:
        count: int = (await resp.json())["busy"]
        return count


async def is_busy(fleet: Fleet, engine: str) -> bool:
    """Return whether an engine processes a request."""
    return await busy(fleet, engine) > 0


async def is_idle(fleet: Fleet, engine: str) -> bool:
    """Return whether an engine processes no request."""
    return await busy(fleet, engine) == 0
