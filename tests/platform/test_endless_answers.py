"""Upstreams that send bytes without end in place of an answer.

Guards against an entry that buffers them until its memory is used up, or reads them
until the deadline while the other requests of the entry wait.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.standin.endless_answers import Endless

if TYPE_CHECKING:
    from tools.platform.nodes import Platform

MAX_SENT = 16 * 1024 * 1024
"""Bytes that an upstream may have sent when it is cut: the buffers of both sockets and
the largest buffer of an entry, for each of the upstreams that a request is sent to."""
STREAMS = (Endless.EVENT, Endless.COMMENTS)


async def test_bytes_without_end_are_cut_and_their_caller_is_told(
    platform: Platform,
) -> None:
    for server in platform.servers:
        server.actions |= {kind.value: kind.value for kind in Endless}
    entry = platform.entry_ips[0]
    for kind in Endless:
        route = "stream" if kind in STREAMS else "safe"
        await platform.earn_retries(entry, route)
        answer = await platform.call(entry, f"/{route}/{kind.value}")
        sent = sum(server.endless_bytes[kind.value] for server in platform.servers)
        assert 0 < sent <= MAX_SENT, (kind, sent, answer.status)
        assert answer.status in (0, 502, 503), (kind, answer.status)
        served = await platform.call(entry, f"/{route}/good")
        assert served.status == 200, kind
