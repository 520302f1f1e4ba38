"""Faulty proxies in front of the inner addresses of control boxes and of servers.

Each box has its own inner port and dials all other boxes at that port number. A proxy
on that port of a target box therefore carries only the link from this one source.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tools.faults import FaultyLink
from tools.soak.plan import BadLink, LinkFault

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable


@dataclass
class FaultyLinks:
    """Faulty links by source and target; the source is empty for links to servers."""

    _links: dict[tuple[str, str], FaultyLink] = field(default_factory=dict)

    async def add_mesh(
        self,
        sources: Iterable[str],
        targets: Iterable[str],
        port_of: Callable[[str], int],
    ) -> None:
        """Add a proxy between each source and each other target."""
        for target in targets:
            for source in sources:
                if source == target:
                    continue
                link = FaultyLink(port_of(target), ip=target, port=port_of(source))
                await link.start()
                self._links[source, target] = link

    async def add_server(self, ip: str, port: int, proxy_port: int) -> None:
        """Add a proxy in front of a server."""
        link = FaultyLink(port, ip=ip, port=proxy_port)
        await link.start()
        self._links["", ip] = link

    async def disturb(self, fault: BadLink, seconds: float) -> None:
        """Disturb a link for some seconds."""
        link = self._links[fault.source, fault.target]
        match fault.how:
            case LinkFault.RESET:
                await link.cut()
            case LinkFault.DELAY:
                link.delay = fault.delay
            case LinkFault.MUTE_TO_TARGET:
                link.hold(from_target=False)
            case LinkFault.MUTE_FROM_TARGET:
                link.hold(to_target=False)
            case LinkFault.SILENT:
                link.hold()
        await asyncio.sleep(seconds)
        link.delay = 0.0
        link.release()

    async def close(self) -> None:
        """Close all proxies."""
        for link in self._links.values():
            await link.close()
