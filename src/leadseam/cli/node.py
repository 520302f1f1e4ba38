"""Run one process on the users' platform.

Usage:
  leadseam-node [--check] (entry | control)
  leadseam-node (-h | --help)

The platform passes the path of the settings file in the environment.

Options:
  --check    Check the settings and exit.
"""

from __future__ import annotations

import signal

if __name__ == "__main__":
    # The default action would end the process while it imports the other modules.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)

import gc
from typing import TYPE_CHECKING

from docopt import docopt

from leadseam.errors import SettingsError
from leadseam.platform.settings import load_node_settings, settings_path
from leadseam.runtime.loop import run_in_uvloop
from leadseam.runtime.process import fail_on_settings, run_program

if TYPE_CHECKING:
    from pathlib import Path

    from leadseam.platform.settings import NodeSettings
    from leadseam.runtime.process import Program


def main() -> None:
    """Entry point of `leadseam-node`."""
    # Objects from start-up are all kept, so collecting them is futile; `run_program`
    # enables the collector again.
    gc.disable()
    # Settings are read below, and the handler that reloads them comes with the loop.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    args = docopt(__doc__)
    entry = bool(args["entry"])
    try:
        path = settings_path()
        settings = load_node_settings(path)
        _check(settings, entry=entry)
    except SettingsError as exc:
        fail_on_settings(exc)
    if args["--check"]:
        print(f"{path}: ok")
        return
    run_program(
        settings.node,
        lambda: _make(settings, path, entry=entry),
        level="info",
        run=run_in_uvloop,
    )


def _check(settings: NodeSettings, *, entry: bool) -> None:
    if entry and (settings.front is None or settings.ready is None):
        raise SettingsError("an entry needs addresses for callers and readiness")
    if not entry and (settings.control is None or settings.data_dir is None):
        raise SettingsError("a control replica needs an address and a data folder")


def _make(settings: NodeSettings, path: Path, *, entry: bool) -> Program:
    # Imported on use, so that neither role pays for the other's modules.
    if entry:
        from leadseam.platform.entry_node import EntryNode

        return EntryNode(settings, path)
    from leadseam.platform.control_node import ControlNode
    from leadseam.runtime.restart import RestartingProgram

    return RestartingProgram(
        lambda after_failure: ControlNode(settings, path, renew=after_failure)
    )


if __name__ == "__main__":
    main()
