"""Streams while servers of two software versions serve, with real processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING, Any

from leadseam.feed.stream_file import StreamFile
from leadseam.membership.version_file import FILE_NAME
from leadseam.platform import names
from leadseam.routing.stream_origin import stream_digest, unpack_digests
from tools.platform.nodes import document
from tools.platform.standin import WHOLE_STREAM
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Answer, Platform
    from tools.platform.standin import Server

STREAMS = 24
"""Concurrent streams of each test."""
SLOTS = 4 * STREAMS
"""Slots of each server. The loads of a killed entry count for a while, so servers must
have room for all streams several times."""
BROKEN_STREAMS = 4 * STREAMS
"""Streams that break: more than can go on at the right version by chance."""
PATIENCE_MS = 60_000
"""Time for which callers wait, for a stream and between its events."""
CAPACITY_PAUSE = 0.2
"""Seconds until a stream that was refused for lack of capacity is sent again. Entries
admit a burst by how long engines are expected to read its prompts."""
PROMPT_REFUSAL = 2.5
"""Seconds within which a refusal is due: half of the time that callers wait."""


def versions_of(platform: Platform, *request_ids: str) -> set[str]:
    """Return the versions of the servers that ran any of these requests."""
    return {
        server.version
        for server in platform.servers
        for run in server.runs
        if run.request_id in request_ids
    }


async def add_versions(platform: Platform) -> list[Server]:
    """Add servers until two of v1 and two of v2 serve, and return all four."""
    engine = {"slots": SLOTS, "kvCapacity": 10_000_000, "models": [{"name": "m"}]}
    services = [
        {"name": "plain", "maxConnections": 100},
        {"name": "model", "maxConnections": 10 * SLOTS, "engine": engine},
    ]
    routes = json.loads(document(1))["routes"]
    for route in routes:
        # Streams that pause are neither late nor taken for silent.
        route |= {"timeoutMs": PATIENCE_MS, "gapTargetMs": PATIENCE_MS}
    changed = document(2, services=services, routes=routes)
    assert await platform.operator.replace(changed) == 200
    for ip in platform.server_ips[4:6]:
        await platform.add_server(ip, "model", version="v2")
    servers = platform.servers_of("model")
    for server in servers:
        server.slots = SLOTS
    await wait_used(platform, servers)
    return servers


async def wait_used(platform: Platform, servers: list[Server]) -> None:
    """Wait until each entry has used each of these servers."""
    # Servers that register later hold no part of a prompt that was sent before.
    numbers = itertools.count()

    async def used() -> bool:
        calls = (
            platform.call(
                entry,
                "/stream/warm",
                request_id=f"warm-{entry}-{number}",
                headers=prompt(number),
            )
            for entry in platform.entry_ips
            for number in itertools.islice(numbers, STREAMS)
        )
        await asyncio.gather(*calls)
        return all(
            any(run.request_id.startswith(f"warm-{entry}") for run in server.runs)
            for server in servers
            for entry in platform.entry_ips
        )

    await wait_until(used, "all servers are used")


async def call_until_admitted(platform: Platform, entry: str, **options: Any) -> Answer:
    """Call the model, again after each refusal for lack of capacity."""
    while True:
        answer = await platform.call(entry, "/stream/x", **options)
        if answer.status != 503 or b'"upstream_full"' not in answer.body:
            return answer
        await asyncio.sleep(CAPACITY_PAUSE)


def prompt(number: int) -> dict[str, str]:
    """Return the header of a prompt, which spreads streams over the servers."""
    return {names.PROMPT_PARTS: f"shared-{number}:100,own-{number}:10"}


async def test_a_broken_stream_goes_on_only_at_the_version_that_began_it(
    platform: Platform,
) -> None:
    for server in await add_versions(platform):
        server.actions["x"] = "lose"

    async def call(number: int) -> Answer:
        entry = platform.entry_ips[number % 2]
        request_id = f"broken-{number}"
        return await platform.call(
            entry, "/stream/x", request_id=request_id, headers=prompt(number)
        )

    for first in range(0, BROKEN_STREAMS, STREAMS):
        await asyncio.gather(*map(call, range(first, first + STREAMS)))
    mixed = [
        number
        for number in range(BROKEN_STREAMS)
        if len(versions_of(platform, f"broken-{number}")) > 1
    ]
    assert mixed == []


async def begin_streams(platform: Platform, entry: str) -> list[asyncio.Task[Answer]]:
    """Begin streams `first-N` that pause, and wait until each caller has an event."""
    begun: set[int] = set()

    async def begin(number: int) -> Answer:
        return await call_until_admitted(
            platform,
            entry,
            request_id=f"first-{number}",
            headers=prompt(number) | {names.DEADLINE: str(PATIENCE_MS)},
            on_data=lambda data: begun.add(number) if data[:2] == b"id" else None,
        )

    async def all_begun() -> bool:
        return len(begun) == STREAMS

    for server in platform.servers_of("model"):
        server.actions["x"] = "pause"
    calls = [asyncio.create_task(begin(number)) for number in range(STREAMS)]
    await wait_until(all_begun, "all streams have begun")
    await wait_told(platform)
    return calls


async def wait_told(platform: Platform) -> None:
    """Wait until control boxes have stored all streams `first-N`."""
    digests = {stream_digest("bank", f"first-{number}") for number in range(STREAMS)}

    async def all_told() -> bool:
        told = {
            digest
            for ip in platform.control_ips
            for message in StreamFile(platform.folder / f"data-{ip}").load()
            for digest in unpack_digests(message.streams)
        }
        return digests <= told

    await wait_until(all_told, "all streams are told")


async def check_resumed(platform: Platform, entry: str, broken: list[Answer]) -> None:
    """Resume streams at an entry; each must go on at the version that began it."""
    for server in platform.servers_of("model"):
        server.release.set()

    async def resume(number: int) -> Answer:
        headers = prompt(number) | {
            names.DEADLINE: str(PATIENCE_MS),
            names.LAST_EVENT: str(broken[number].body.count(b"\n\n")),
            names.RESUMES: f"first-{number}",
        }
        return await call_until_admitted(
            platform, entry, request_id=f"second-{number}", headers=headers
        )

    resumed = await asyncio.gather(*map(resume, range(STREAMS)))
    mixed = [
        number
        for number in range(STREAMS)
        if len(versions_of(platform, f"first-{number}", f"second-{number}")) > 1
    ]
    assert mixed == []
    bodies = [one.body + two.body for one, two in zip(broken, resumed, strict=True)]
    assert bodies == [WHOLE_STREAM] * STREAMS


async def test_a_stream_of_a_killed_entry_goes_on_only_at_the_version_that_began_it(
    platform: Platform,
) -> None:
    await add_versions(platform)
    first, second = platform.entry_ips
    calls = await begin_streams(platform, first)
    platform.kill(first)
    await check_resumed(platform, second, await asyncio.gather(*calls))


async def test_streams_go_on_at_their_version_after_all_boxes_were_killed(
    platform: Platform,
) -> None:
    servers = await add_versions(platform)
    first, second = platform.entry_ips
    calls = await begin_streams(platform, first)
    boxes = [*platform.control_ips, *platform.entry_ips]
    for ip in boxes:
        platform.kill(ip)
    broken = await asyncio.gather(*calls)
    for ip in boxes:
        platform.start(ip)
    for ip in platform.entry_ips:
        await platform.wait_ready(ip)
    await wait_used(platform, servers)
    await check_resumed(platform, second, broken)


async def test_no_stream_is_continued_after_all_boxes_ended_and_lost_their_versions(
    platform: Platform,
) -> None:
    boxes = [*platform.control_ips, *platform.entry_ips]
    files = [platform.folder / f"data-{ip}" / FILE_NAME for ip in platform.control_ips]

    async def all_started() -> bool:
        return all(file.exists() for file in files)

    await wait_until(all_started, "all control boxes have started")
    for ip in boxes:
        platform.kill(ip)
    for file in files:
        file.unlink()
    for ip in boxes:
        platform.start(ip)
    entry = platform.entry_ips[0]
    await platform.wait_ready(entry)
    await platform.wait_served(entry)
    headers = {names.LAST_EVENT: "1", names.RESUMES: "before"}
    answer = await call_until_admitted(
        platform, entry, request_id="after", headers=headers
    )
    assert answer.status == 503
    assert b'"version_unknown"' in answer.body
    lines = platform.log(entry)
    (line,) = [one for one in lines if one["message"] == "stream not continued"]
    assert (line["request"], line["resumes"]) == ("after", "before")


async def test_a_stream_whose_version_is_gone_is_refused_at_once(
    platform: Platform,
) -> None:
    old = platform.servers_of("model")
    for server in old:
        server.actions["x"] = "pause"
    first, second = platform.entry_ips
    begun = asyncio.Event()
    call = asyncio.create_task(
        platform.call(
            first, "/stream/x", request_id="first", on_data=lambda _: begun.set()
        )
    )
    await begun.wait()
    await platform.add_server(platform.server_ips[4], "model", version="v2")

    await wait_used(platform, platform.servers[-1:])
    for server in old:
        await server.drain()
        await server.stop()
    broken = await call
    headers = {
        names.LAST_EVENT: str(broken.body.count(b"\n\n")),
        names.RESUMES: "first",
    }
    started = time.monotonic()
    answer = await platform.call(
        second, "/stream/x", request_id="second", headers=headers
    )
    assert broken.cut
    assert answer.status == 503
    assert time.monotonic() - started < PROMPT_REFUSAL
    assert versions_of(platform, "first", "second") == {"v1"}
