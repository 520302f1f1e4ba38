"""A control box with a full disk keeps running, and rejoins once it has space."""

from __future__ import annotations

import resource
import socket
from typing import TYPE_CHECKING

import aiohttp

from leadseam.platform import names
from tools.platform.nodes import document
from tools.waiting import wait_until

if TYPE_CHECKING:
    from tools.platform.nodes import Platform

UNLIMITED = resource.RLIM_INFINITY


async def test_a_full_disk_ends_no_control_process(platform: Platform) -> None:
    full_ip, other_ip, _ = platform.control_ips
    process = platform.processes[full_ip]
    # The kernel does not let any file of the process grow, like a full disk.
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (0, UNLIMITED))
    assert await platform.operator.replace(document(2)) == 200

    async def is_closed() -> bool:
        with socket.socket() as sock:
            return sock.connect_ex((full_ip, platform.control_port)) != 0

    await wait_until(is_closed, "the box with the full disk serves nothing")
    assert await platform.operator.replace(document(3)) == 200
    assert process.poll() is None
    resource.prlimit(process.pid, resource.RLIMIT_FSIZE, (UNLIMITED, UNLIMITED))

    async def reads_the_newest() -> bool:
        return await read_from(platform, full_ip) == document(3)

    await wait_until(reads_the_newest, "the box takes part again")
    # With another of the three voters lost, this box is needed for a quorum.
    platform.kill(other_ip)
    assert await platform.operator.replace(document(4)) == 200
    assert await platform.operator.read() == document(4)
    assert process.poll() is None


async def read_from(platform: Platform, ip: str) -> bytes:
    """Return the configuration that one control box has, or nothing if it has none."""

    url = f"http://{ip}:{platform.control_port}{names.READ_PATH}"
    try:
        async with platform.http.get(url) as resp:
            return await resp.read() if resp.status == 200 else b""
    except (aiohttp.ClientError, OSError):
        return b""
