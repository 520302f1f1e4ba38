"""Reloading of the settings file, on SIGHUP and when its content changes."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from leadseam.clock import Millis, seconds
from leadseam.errors import SettingsError
from leadseam.platform.settings import load_node_settings

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from leadseam.platform.settings import NodeSettings

POLL_INTERVAL: Millis = 1_000
"""Interval at which the file is checked for changes; seeds change a few times a day."""

log = logging.getLogger(__name__)


class SettingsWatch:
    """Notifies the process of changed settings.

    A file that cannot be read is logged and ignored.

    Args:
        path: Settings file.
        settings: Settings that the process has started with.
        on_change: Called with the new settings.
    """

    def __init__(
        self,
        path: Path,
        settings: NodeSettings,
        on_change: Callable[[NodeSettings], None],
    ) -> None:
        self._path = path
        self._settings = settings
        self._on_change = on_change
        self._reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Watch the file until cancelled."""

        asyncio.get_running_loop().add_signal_handler(
            signal.SIGHUP, self._reload_requested.set
        )
        while True:
            try:
                async with asyncio.timeout(seconds(POLL_INTERVAL)):
                    await self._reload_requested.wait()
                    self._reload_requested.clear()
            except TimeoutError:
                pass
            self._reload()

    def _reload(self) -> None:
        try:
            settings = load_node_settings(self._path)
        except SettingsError as exc:
            log.warning("settings not reloaded", extra={"error": exc.message})
            return
        if settings != self._settings:
            log.info("settings reloaded", extra={"seeds": settings.seeds})
            self._settings = settings
            self._on_change(settings)
