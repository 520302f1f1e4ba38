"""All HTTP connections are opened by the event loop, never by the library's connector.

Guards against a process abort (SIGABRT): if a call is cancelled while the library
connects, the library and the loop both close the socket's descriptor. By the second
close the number belongs to another connection, and the loop aborts when it polls a
descriptor that is gone. It ended a run of all tests in the middle of a test, and two
soak runs with crashing servers early without any message. Entries already used the
loop's connector; the sidecar's calls, its list of boxes and the tools did not.

Three of three processes that cancelled 3,000 connects each beside four busy connections
ended with `SIGABRT`; with the loop's connector, none of three did.
"""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

import aiohttp
import pytest

from leadseam.clock import SystemClock
from leadseam.runtime.connector import LoopConnector
from leadseam.runtime.timeouts import Timeouts
from leadseam.sidecar.platform import watch_platform
from leadseam.sidecar.upstream import UpstreamAddress, UpstreamClient
from tests.descriptors import assert_no_double_close
from tools.platform.operator import Operator, post_bytes
from tools.ports import LOOPBACK

ROOT = Path(__file__).parents[2]
FOLDERS = ("src", "tests", "tools")
CONNECTOR_CALL = re.compile(r"(?:TCPConnector|ClientSession)\((?:[^()]|\([^()]*\))*\)")
"""Matches calls that create a connector, or a session with or without one."""


async def probe(port: int) -> None:
    clock = SystemClock()
    address = UpstreamAddress(LOOPBACK, port, engine=True)
    upstream = UpstreamClient(address, clock, Timeouts(clock))
    try:
        await upstream.probe()
    finally:
        await upstream.close()


async def watch(port: int) -> None:
    await watch_platform(f"http://{LOOPBACK}:{port}/boxes", "box-1", lambda: None)


async def report(port: int) -> None:
    await post_bytes(f"{LOOPBACK}:{port}", "/v1/x", b"{}")


async def operate(port: int) -> None:
    await Operator([f"{LOOPBACK}:{port}"]).read()


@pytest.mark.parametrize("call", [probe, watch, report, operate])
async def test_a_cancelled_connect_closes_no_descriptor_twice(
    call: object, monkeypatch: pytest.MonkeyPatch
) -> None:
    assert callable(call)
    await assert_no_double_close(call, monkeypatch)


async def test_the_next_address_of_a_name_is_tried() -> None:
    async def answer(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    connector = LoopConnector()
    server = await asyncio.start_server(answer, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    connector._resolver = TwoAddresses()
    async with aiohttp.ClientSession(connector=connector) as http:
        async with http.get(f"http://upstream.test:{port}/") as resp:
            assert await resp.text() == "ok"
        server.close()
        await server.wait_closed()
        with pytest.raises(aiohttp.ClientConnectorError):
            await http.get(f"http://upstream.test:{port}/")


class TwoAddresses(aiohttp.abc.AbstractResolver):
    """Resolves each name to two addresses; nothing listens on the first."""

    async def resolve(
        self, host: str, port: int = 0, family: int = 0
    ) -> list[aiohttp.abc.ResolveResult]:
        return [
            {
                "hostname": host,
                "host": ip,
                "port": port,
                "family": 2,
                "proto": 0,
                "flags": 0,
            }
            for ip in ("127.0.0.99", LOOPBACK)
        ]

    async def close(self) -> None:
        return


def test_nothing_uses_the_library_s_connector() -> None:
    found = [
        f"{path.relative_to(ROOT)}: {call}"
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
        for call in CONNECTOR_CALL.findall(path.read_text())
        if "connector=" not in call
    ]
    assert found == []


@pytest.mark.parametrize("args", ["", "timeout=Timeout(total=1)", "limit=0"])
@pytest.mark.parametrize("name", ["ClientSession", "TCPConnector"])
def test_the_library_s_connector_is_found(name: str, args: str) -> None:
    made = f"{name}({args})"
    assert CONNECTOR_CALL.findall(f"async with aiohttp.{made} as http:") == [made]
