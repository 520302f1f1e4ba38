"""Faults on the links of a fleet, injected by the TCP proxy of aiomisc-pytest."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import psutil
from aiomisc_pytest import TCPProxy

from tools.ports import LOOPBACK

if TYPE_CHECKING:
    from tools.fleet import Fleet

SCAN_INTERVAL = 0.02
"""Seconds between two scans for new connections of a held process."""


class FaultyLink:
    """A proxy in front of one listening address.

    Args:
        target: Port of the process behind the proxy.
        ip: Address of that process and of the proxy. Defaults to loopback.
        port: Port to listen on. Defaults to one chosen by the system.
    """

    def __init__(
        self, target: int, *, ip: str = LOOPBACK, port: int | None = None
    ) -> None:
        self._proxy = TCPProxy(ip, target, ip, buffered=False)
        if port is not None:
            self._proxy.proxy_port = port
        self.delay = 0.0
        self._to_target_open = asyncio.Event()
        self._from_target_open = asyncio.Event()
        self._proxy.set_content_processors(
            self._forward_to_target, self._forward_from_target
        )
        self.release()

    @property
    def port(self) -> int:
        """Port to connect to."""
        port: int = self._proxy.proxy_port
        return port

    async def start(self) -> None:
        """Start to listen."""
        await self._proxy.start()

    async def close(self) -> None:
        """Cut all connections and stop listening."""
        self.release()
        await self._proxy.close()

    async def cut(self) -> None:
        """Cut all connections, as a crash of the other side would."""
        await self._proxy.disconnect_all()

    def hold(self, *, to_target: bool = True, from_target: bool = True) -> None:
        """Silently hold back bytes, in one direction or both.

        Args:
            to_target: Whether to hold bytes to the process behind the proxy.
            from_target: Whether to hold bytes from that process.
        """
        _set_event(self._to_target_open, not to_target)
        _set_event(self._from_target_open, not from_target)

    def release(self) -> None:
        """Forward bytes again in both directions, the held ones first."""
        self.hold(to_target=False, from_target=False)

    async def hold_process(self, pid: int, seconds: float) -> None:
        """Silently hold all connections of one process for some seconds.

        Connections that it opens meanwhile are held as well.
        """
        released = asyncio.Event()

        async def wait(chunk: bytes) -> bytes:
            await released.wait()
            return chunk

        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ports = {conn.laddr.port for conn in psutil.Process(pid).net_connections()}
            for client in self._proxy.clients:
                if client.client_writer.get_extra_info("peername")[1] in ports:
                    client.read_processor = wait
                    client.write_processor = wait
            await asyncio.sleep(SCAN_INTERVAL)
        released.set()

    async def _forward_to_target(self, chunk: bytes) -> bytes:
        await asyncio.sleep(self.delay)
        await self._to_target_open.wait()
        return chunk

    async def _forward_from_target(self, chunk: bytes) -> bytes:
        await asyncio.sleep(self.delay)
        await self._from_target_open.wait()
        return chunk


def _set_event(event: asyncio.Event, value: bool) -> None:
    if value:
        event.set()
    else:
        event.clear()


async def proxy_sidecar(fleet: Fleet, upstream: str) -> FaultyLink:
    """Put a proxy between entries and a sidecar; call it before the fleet starts."""
    row = next(row for row in fleet.config["upstreams"] if row["name"] == upstream)
    link = FaultyLink(row["sidecar_port"])
    row["sidecar_port"] = link.port
    await link.start()
    fleet.add_cleanup(link.close)
    return link


async def proxy_replica(fleet: Fleet, name: str) -> FaultyLink:
    """Put a proxy in front of the inner address of a control replica.

    All other replicas and nodes reach it through the proxy. Call it before the fleet
    starts.
    """
    link = FaultyLink(fleet.replicas[name]["port"])
    for node in fleet.nodes.values():
        if node.name == name:
            continue
        _redirect(node.settings, fleet.replicas[name]["port"], link.port)
    await link.start()
    fleet.add_cleanup(link.close)
    return link


def _redirect(settings: dict[str, object], old: int, new: int) -> None:
    for key in ("replicas", "control"):
        endpoints = settings.get(key)
        if isinstance(endpoints, dict):
            settings[key] = {
                name: _replace_port(end, old, new) for name, end in endpoints.items()
            }
        elif isinstance(endpoints, list):
            settings[key] = [_replace_port(end, old, new) for end in endpoints]


def _replace_port(endpoint: dict[str, object], old: int, new: int) -> dict[str, object]:
    return {**endpoint, "port": new if endpoint["port"] == old else endpoint["port"]}
