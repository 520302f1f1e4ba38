"""Sends the control boxes documents that only look like a registration."""

from __future__ import annotations

import asyncio
import json
import random
from typing import TYPE_CHECKING, Any

import aiohttp

from leadseam.platform import names
from tools.platform.operator import post_bytes

if TYPE_CHECKING:
    from tools.soak.promise_checker import PromiseChecker
    from tools.soak.soak_platform import SoakPlatform

SEND_PAUSE = 0.1
"""Interval between two documents, in seconds."""
REFUSED = 400
UNREACHABLE = (0, 503)
"""Statuses of a box that is gone or frozen; 0 is no answer."""


class InvalidRegistrations:
    """Sends invalid registrations under the ids and addresses of real servers.

    Args:
        platform: The nodes, servers and links.
        seed: Seed for the documents.
        promises: Checks that all of them are refused.
    """

    def __init__(
        self, platform: SoakPlatform, seed: int, promises: PromiseChecker
    ) -> None:
        self._platform = platform
        self._rng = random.Random(seed + 2)
        self._promises = promises

    async def run(self) -> None:
        """Send documents until cancelled."""
        while True:
            await self._send()
            await asyncio.sleep(SEND_PAUSE)

    async def _send(self) -> None:
        control = self._rng.choice(self._platform.controls)
        server = self._rng.choice(self._platform.servers)
        instance = self._rng.choice([server.instance, "i-stranger", "i%00", "%FF"])
        path = self._rng.choice([names.HEARTBEAT_PATH, names.LEAVE_PATH])
        document = self._malformed(server.heartbeat(self._rng.randrange(10_000)))
        if path == names.LEAVE_PATH:
            # This path ignores all other fields; only a wrong start is refused.
            document = b'{"born":"%d"}' % self._rng.randrange(10_000)
        try:
            status = await post_bytes(control, path.format(instance=instance), document)
        except (aiohttp.ClientError, OSError, TimeoutError):
            status = 0
        if status not in UNREACHABLE:
            detail = f"status {status} for {document[:80]!r} of {instance}"
            self._promises.on_invalid_registration(status == REFUSED, detail)

    def _malformed(self, good: dict[str, Any]) -> bytes:
        """Return a malformed variant of a valid heartbeat."""
        field = self._rng.choice(["address", "service", "slots", "state", "sequence"])
        match self._rng.randrange(5):
            case 0:
                return json.dumps(
                    {k: v for k, v in good.items() if k != field}
                ).encode()
            case 1:
                wrong: object = self._rng.choice([None, -1, 0.5, [], {}, True, ""])
                return json.dumps(good | {field: wrong}).encode()
            case 2:
                wrong = self._rng.choice([None, -1, 0, 0.5, "now", 10**30])
                return json.dumps(good | {"born": wrong}).encode()
            case 3:
                whole = json.dumps(good).encode()
                return whole[: self._rng.randrange(len(whole))]
            case _:
                return self._rng.randbytes(40)
