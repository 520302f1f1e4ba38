"""Faults on the links of a fleet, by the fault-injecting proxy of aiomisc-pytest."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import psutil
from aiomisc_pytest import TCPProxy

from tools.fleet import LOOPBACK

if TYPE_CHECKING:
    from tools.fleet import Fleet

SCAN_INTERVAL = 0.02


class FaultyLink:
    """A proxy before one listening address.

    Args:
        target: Port of the process behind it.
    """

    def __init__(self, target: int) -> None:
        self._proxy = TCPProxy(LOOPBACK, target, buffered=False)
        self._flows = asyncio.Event()
        self._flows.set()

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
        self._flows.set()
        await self._proxy.close()

    async def cut(self) -> None:
        """Break all connections, as a crash of the other side would."""
        await self._proxy.disconnect_all()

    def hold(self, *, towards: bool = True, back: bool = True) -> None:
        """Silently hold what is sent, in one direction or both.

        Args:
            towards: Hold what goes to the process behind the proxy.
            back: Hold what comes from it.
        """
        self._flows.clear()
        read = self._wait if towards else self._pass
        write = self._wait if back else self._pass
        self._proxy.set_content_processors(read, write)

    def release(self) -> None:
        """Let everything flow again, the held bytes first."""
        self._proxy.set_content_processors(self._pass, self._pass)
        self._flows.set()

    async def hold_peer(self, pid: int, seconds: float) -> None:
        """Silently hold the connections of one process, new ones too, for a time."""
        self._flows.clear()
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            ports = {conn.laddr.port for conn in psutil.Process(pid).net_connections()}
            for client in self._proxy.clients:
                if client.client_writer.get_extra_info("peername")[1] in ports:
                    client.read_processor = self._wait
                    client.write_processor = self._wait
            await asyncio.sleep(SCAN_INTERVAL)
        self.release()

    async def _wait(self, chunk: bytes) -> bytes:
        await self._flows.wait()
        return chunk

    @staticmethod
    async def _pass(chunk: bytes) -> bytes:
        return chunk


async def before_sidecar(fleet: Fleet, upstream: str) -> FaultyLink:
    """Put a proxy between the entries and a sidecar; before the fleet starts."""
    row = next(row for row in fleet.config["upstreams"] if row["name"] == upstream)
    link = FaultyLink(row["sidecar_port"])
    row["sidecar_port"] = link.port
    await link.start()
    fleet.on_close(link.close)
    return link


async def before_replica(fleet: Fleet, name: str) -> FaultyLink:
    """Put a proxy before a replica's inner address; before the fleet starts.

    The other replicas and all nodes reach it through the proxy.
    """
    link = FaultyLink(fleet.replicas[name]["port"])
    for node in fleet.nodes.values():
        if node.name == name:
            continue
        _redirect(node.settings, fleet.replicas[name]["port"], link.port)
    await link.start()
    fleet.on_close(link.close)
    return link


def _redirect(settings: dict[str, object], old: int, new: int) -> None:
    for key in ("replicas", "control"):
        endpoints = settings.get(key)
        if isinstance(endpoints, dict):
            settings[key] = {
                name: _moved(end, old, new) for name, end in endpoints.items()
            }
        elif isinstance(endpoints, list):
            settings[key] = [_moved(end, old, new) for end in endpoints]


def _moved(endpoint: dict[str, object], old: int, new: int) -> dict[str, object]:
    return {**endpoint, "port": new if endpoint["port"] == old else endpoint["port"]}
