"""Calls to the metrics address of a control box, for the operators' commands."""

from __future__ import annotations

import asyncio
import json
import sys
from typing import TYPE_CHECKING, Any

import aiohttp

from leadseam.errors import SettingsError
from leadseam.platform.settings import read_address
from leadseam.runtime.connector import LoopConnector
from leadseam.runtime.process import EXIT_FAILED, EXIT_OK, EXIT_USAGE

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from leadseam.settings.models import Endpoint

TIMEOUT_S = 5.0
"""Seconds for an answer: a control box gives a write up after some four."""


class AdminClient:
    """Calls one control box.

    Args:
        control: Its metrics address.
    """

    def __init__(self, control: Endpoint) -> None:
        self._control = control

    def __repr__(self) -> str:
        return f"AdminClient({self._control})"

    async def print_rows(
        self,
        path: str,
        render: Callable[[list[dict[str, Any]]], str],
        *,
        as_json: bool,
    ) -> int:
        """Print the rows of a list; return the exit code."""
        async with _open_session() as http, http.get(self._url(path)) as resp:
            resp.raise_for_status()
            rows: list[dict[str, Any]] = await resp.json()
        print(json.dumps(rows, indent=2) if as_json else render(rows))
        return EXIT_OK

    async def send_command(self, path: str) -> int:
        """Give an order and print the answer; return the exit code."""
        async with _open_session() as http, http.post(self._url(path)) as resp:
            print(await resp.text())
            return EXIT_OK if resp.ok else EXIT_FAILED

    def _url(self, path: str) -> str:
        return f"http://{self._control.ip}:{self._control.port}{path}"


def run_command(
    program: str,
    control: str,
    command: Callable[[AdminClient], Coroutine[Any, Any, int]],
) -> int:
    """Run an operators' command against a control box and return its exit code.

    Args:
        program: Name of the program, for errors.
        control: Address IP:PORT as the operator gave it.
        command: What to do there.
    """
    try:
        address = read_address(control)
    except (ValueError, SettingsError) as exc:
        print(f"{program}: {exc}", file=sys.stderr)
        return EXIT_USAGE
    try:
        return asyncio.run(command(AdminClient(address)))
    except (aiohttp.ClientError, OSError, TimeoutError) as exc:
        print(f"{program}: {address}: {exc}", file=sys.stderr)
        return EXIT_FAILED


def _open_session() -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=LoopConnector(), timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
    )
