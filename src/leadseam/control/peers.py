"""A replica's links to the other replicas."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

from leadseam.clock import Millis
from leadseam.runtime.tasks import spawn
from leadseam.wire.backoff import Backoff
from leadseam.wire.link import LINK_ERRORS, dial
from leadseam.wire.messages import Hello

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from leadseam.settings.models import Endpoint
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage
    from leadseam.wire.traffic import Traffic

MAX_REDIAL_PAUSE: Millis = 400
"""Longest pause before a peer is dialled again: below the least election timeout."""


class Peers:
    """Outgoing links to the other replicas; each redials until it is dropped.

    Args:
        name: This replica's box name.
        endpoints: Inner addresses of the replicas known at the start, by box name.
        address_of: Returns the inner address of a box that joined later, or None.
        on_reply: Called with messages that come back on these links.
        traffic: Bytes on inner links.
    """

    def __init__(
        self,
        name: str,
        endpoints: dict[str, Endpoint],
        address_of: Callable[[str], Endpoint | None],
        on_reply: Callable[[AnyMessage], None],
        traffic: Traffic,
    ) -> None:
        self._name = name
        self._endpoints = dict(endpoints)
        self._address_of = address_of
        self._on_reply = on_reply
        self._traffic = traffic
        self._links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, to: str, message: AnyMessage) -> None:
        """Send to one box, or to all if `to` is empty; lost if not connected."""
        names = [to] if to else list(self._links)
        for name in names:
            link = self._links.get(name)
            if link is not None:
                link.send(message)

    def set_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Keep links to these boxes, besides members, from the next `follow` on."""
        self._endpoints = dict(endpoints)

    def follow(self, members: set[str]) -> None:
        """Keep links to the members of the group and to the boxes of the settings."""
        wanted = (members | set(self._endpoints)) - {self._name}
        for name in wanted - set(self._tasks):
            endpoint = self._endpoints.get(name) or self._address_of(name)
            if endpoint is not None:
                self._tasks[name] = spawn(self._keep(name, endpoint))
        for name in set(self._tasks) - wanted:
            self._tasks.pop(name).cancel()
            self._links.pop(name, None)

    def close(self) -> None:
        """Drop all links."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._links.clear()

    async def _keep(self, name: str, endpoint: Endpoint) -> None:
        backoff = Backoff(last=MAX_REDIAL_PAUSE)
        while True:
            with contextlib.suppress(*LINK_ERRORS):
                async with dial(endpoint.ip, endpoint.port, self._traffic) as link:
                    link.send(Hello(self._name, 0))
                    self._links[name] = link
                    backoff.reset()
                    async for message in link.messages():
                        self._on_reply(message)
            self._links.pop(name, None)
            await backoff.wait()
