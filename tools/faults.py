"""Faults on the links of a fleet, by the fault-injecting proxy of aiomisc-pytest."""

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


class FaultyLink:
    """A proxy before one listening address.

    Args:
        target: Port of the process behind it.
        ip: Address of that process and of the proxy. Defaults to the loopback one.
        port: Port to listen on. Defaults to one that the system gives.
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
        """Begin to listen."""
        await self._proxy.start()

    async def close(self) -> None:
        """Cut everything and end."""
        self.release()
        await self._proxy.close()

    async def cut(self) -> None:
        """Break all connections, as a crash of the other side would."""
        await self._proxy.disconnect_all()

    def hold(self, *, to_target: bool = True, from_target: bool = True) -> None:
        """Silently hold what is sent, in one direction or both.

        Args:
            to_target: Hold what goes to the process behind the proxy.
            from_target: Hold what comes from it.
        """
        _set_event(self._to_target_open, not to_target)
        _set_event(self._from_target_open, not from_target)

    def release(self) -> None:
        """Let everything flow again, the held bytes first."""
        self.hold(to_target=False, from_target=False)

    async def hold_process(self, pid: int, seconds: float) -> None:
        """Silently hold the connections of one process, new ones too, for a time."""
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
    """Put a proxy between the entries and a sidecar; before the fleet starts."""
    row = next(row for row in fleet.config["upstreams"] if row["name"] == upstream)
    link = FaultyLink(row["sidecar_port"])
    row["sidecar_port"] = link.port
    await link.start()
    fleet.add_cleanup(link.close)
    return link


async def proxy_replica(fleet: Fleet, name: str) -> FaultyLink:
    """Put a proxy before a replica's inner address; before the fleet starts.

    The other replicas and all nodes reach it through the proxy.
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
