"""HTTP client of the operators' commands for the admin server of a control box."""

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
"""Timeout of a request in seconds: a control box gives up a write after some four."""


class AdminClient:
    """HTTP client for one control box.

    Args:
        control: Metrics address of the control box.
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
        """Fetch a list and print its rows.

        Args:
            path: Path of the list.
            render: Formats the rows as a table.
            as_json: Print JSON instead of the table.

        Returns:
            The exit code.
        """
        async with _open_session() as http, http.get(self._url(path)) as resp:
            resp.raise_for_status()
            rows: list[dict[str, Any]] = await resp.json()
        print(json.dumps(rows, indent=2) if as_json else render(rows))
        return EXIT_OK

    async def send_command(self, path: str) -> int:
        """Send a command, print the response and return the exit code."""
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
    """Run an operator's command against a control box and return its exit code.

    Args:
        program: Name of the program, for error messages.
        control: Address IP:PORT from the command line.
        command: Runs the command with a client for that control box.
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
