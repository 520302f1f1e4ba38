"""Crowds of clients at the address that control boxes serve to others.

Guards against a control process that outgrows the memory of its box because of
documents that nobody finishes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from leadseam.platform import names
from tools.crowd import Crowd, Member
from tools.platform.nodes import Platform, document
from tools.process_usage import peak_memory
from tools.waiting import CONDITION_TIMEOUT

if TYPE_CHECKING:
    from pathlib import Path

MEMORY_MB = 128
"""Memory of a control box."""
MEMORY_BYTES = MEMORY_MB * 1_000_000
DOCUMENT_BYTES = 8 * 1024 * 1024
MEMBERS = 24


def unfinished_document(length: int) -> list[bytes]:
    """Return an order of some length; its last byte comes by itself."""
    head = f"POST {names.REPLACE_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}"
    return [f"{head}\r\n\r\n".encode() + b" " * (length - 1), b" "]


async def test_a_control_box_survives_unfinished_documents(tmp_path: Path) -> None:
    """It stays within its box, and carries out an order that is whole."""
    platform = Platform(tmp_path, entries=1, limits={"limits.memoryMb": MEMORY_MB})
    try:
        await platform.start_all()
        ip = platform.control_ips[0]
        process = platform.processes[ip]
        pieces = unfinished_document(DOCUMENT_BYTES)
        members = [Member(str(number), pieces) for number in range(MEMBERS)]
        crowd = Crowd((ip, platform.control_port), members)
        await crowd.send()
        try:
            async with asyncio.timeout(CONDITION_TIMEOUT):
                assert await platform.operator.replace(document(2)) == 200
        finally:
            await crowd.leave()
        assert process.poll() is None
        assert peak_memory(process.pid) <= MEMORY_BYTES
    finally:
        await platform.close()
