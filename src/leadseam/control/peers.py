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
    from leadseam.wire.codec import EncodedMessage
    from leadseam.wire.link import Link
    from leadseam.wire.messages import AnyMessage
    from leadseam.wire.traffic import Traffic

MAX_REDIAL_PAUSE: Millis = 400
"""Maximum delay before a peer is redialed: below the minimum election timeout."""


class Peers:
    """Outgoing links to the other replicas, which are redialed until they are removed.

    Args:
        name: Box name of this replica.
        endpoints: Internal addresses of the initially known replicas, by box name.
        address_of: Returns the internal address of a box that joined later, or None.
        on_reply: Called with the messages received on these links.
        traffic: Byte counters of the internal links.
        failure_domain: Failure domain of this box, stated to the other replicas.
    """

    def __init__(
        self,
        name: str,
        endpoints: dict[str, Endpoint],
        address_of: Callable[[str], Endpoint | None],
        on_reply: Callable[[AnyMessage], None],
        traffic: Traffic,
        failure_domain: str = "",
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._endpoints = dict(endpoints)
        self._address_of = address_of
        self._on_reply = on_reply
        self._traffic = traffic
        self._links: dict[str, Link] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    def send(self, to: str, message: AnyMessage | EncodedMessage) -> bool:
        """Send to one box, or to all if `to` is empty; dropped if not connected.

        Returns:
            Whether any of these boxes is connected.
        """
        names = [to] if to else list(self._links)
        links = [self._links[name] for name in names if name in self._links]
        for link in links:
            link.send(message)
        return bool(links)

    def set_endpoints(self, endpoints: dict[str, Endpoint]) -> None:
        """Set the boxes to link besides members, from the next `set_members` on."""
        self._endpoints = dict(endpoints)

    def set_members(self, members: set[str]) -> None:
        """Link exactly the members of the group and the boxes of `set_endpoints`."""
        linked = (members | set(self._endpoints)) - {self._name}
        for name in linked - set(self._tasks):
            endpoint = self._endpoints.get(name) or self._address_of(name)
            if endpoint is not None:
                self._tasks[name] = spawn(self._maintain_link(name, endpoint))
        for name in set(self._tasks) - linked:
            self._tasks.pop(name).cancel()
            self._links.pop(name, None)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._links.clear()

    async def _maintain_link(self, name: str, endpoint: Endpoint) -> None:
        backoff = Backoff(last=MAX_REDIAL_PAUSE)
        while True:
            with contextlib.suppress(*LINK_ERRORS):
                async with dial(endpoint.ip, endpoint.port, self._traffic) as link:
                    link.send(Hello(self._name, 0, self._failure_domain))
                    self._links[name] = link
                    backoff.reset()
                    async for message in link.messages():
                        self._on_reply(message)
            self._links.pop(name, None)
            await backoff.wait()
