"""Start-up and shutdown of a program."""

from __future__ import annotations

import asyncio
import faulthandler
import gc
import logging
import signal
import sys
from typing import TYPE_CHECKING, NoReturn, Protocol

from leadseam import steady
from leadseam.errors import LeadseamError, SettingsError, StorageError
from leadseam.runtime.logs import configure_logs
from leadseam.runtime.loop import run_in_aiomisc

if TYPE_CHECKING:
    from collections.abc import Callable

    from leadseam.runtime.loop import RunLoop

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_STORAGE = 4

log = logging.getLogger(__name__)


class Program(Protocol):
    """Program that a binary runs."""

    async def start(self) -> None:
        """Bind sockets and start background tasks."""

    async def run(self) -> None:
        """Serve until the program ends or is cancelled."""

    async def drain(self) -> None:
        """Finish the requests in flight after a shutdown signal."""

    async def stop(self) -> None:
        """Release all resources."""


def run_program(
    node: str,
    factory: Callable[[], Program],
    *,
    level: str,
    run: RunLoop = run_in_aiomisc,
) -> NoReturn:
    """Run a program until it ends, or until SIGTERM or SIGINT has shut it down.

    Args:
        node: Name of the process in log lines.
        factory: Creates the program; it is called with the event loop running.
        level: Lowest level to log.
        run: Runs the event loop. Defaults to `run_in_aiomisc`.
    """
    configure_logs(node, level=level)
    # An abort within a library logs nothing, so its stack goes to standard error.
    faulthandler.enable()
    sys.exit(run(_supervise(factory)))


async def _supervise(factory: Callable[[], Program]) -> int:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    try:
        program = factory()
        await program.start()
    except StorageError as exc:
        log.error("cannot start", extra={"code": exc.code, "error": exc.message})
        return EXIT_STORAGE
    except (LeadseamError, OSError) as exc:
        log.error("cannot start", extra={"error": str(exc)})
        return EXIT_FAILED
    # Objects from start-up live as long as the process: exclude them from collections.
    gc.enable()
    gc.freeze()
    log.info("started", extra={"clock": steady.CLOCK_NAME})
    return await _serve(program, stopping)


async def _serve(program: Program, stopping: asyncio.Event) -> int:
    running = asyncio.create_task(program.run())
    stop = asyncio.create_task(stopping.wait())
    await asyncio.wait({running, stop}, return_when=asyncio.FIRST_COMPLETED)
    if running.done() and (exc := running.exception()) is not None:
        log.critical("program failed", exc_info=exc)
        return EXIT_FAILED
    if not running.done():
        log.info("stopping")
        await program.drain()
        running.cancel()
    await program.stop()
    log.info("stopped")
    return EXIT_OK


def fail_on_settings(exc: SettingsError) -> NoReturn:
    """Print a settings error as one line and exit with `EXIT_USAGE`."""
    print(f"settings: {exc.message}", file=sys.stderr)
    sys.exit(EXIT_USAGE)
