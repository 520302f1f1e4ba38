"""Signals that arrive while a node is starting."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from tools.platform.nodes import Platform

START = """
import os, runpy, signal, sys

class SignalOnImport:
    def find_spec(self, name, *_):
        if name == "{module}":
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, SignalOnImport())
sys.argv[1:] = ["--help"]
runpy.run_module("leadseam.cli.node", run_name="__main__")
"""


@pytest.mark.parametrize("module", ["docopt", "leadseam.platform.settings", "uvloop"])
def test_a_reload_signal_during_the_imports_does_not_end_a_node(module: str) -> None:
    code = START.format(module=module)
    ended = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, check=False
    )
    assert ended.returncode == 0, ended.stderr
    assert b"leadseam-node" in ended.stdout


def ignores_or_handles(pid: int, signum: signal.Signals) -> bool:
    """Return whether a process handles or ignores a signal, as the kernel tells."""
    with open(f"/proc/{pid}/status") as status:
        masks = dict(line.split(":", 1) for line in status)
    bit = 1 << (signum - 1)
    return any(int(masks[name], 16) & bit for name in ("SigIgn", "SigCgt"))


async def test_reload_signals_in_series_during_the_start_do_not_end_a_node(
    platform: Platform,
) -> None:
    for ip in (platform.entry_ips[0], platform.control_ips[0]):
        platform.kill(ip)
        platform.start(ip)
        process = platform.processes[ip]
        while not ignores_or_handles(process.pid, signal.SIGHUP):
            assert process.poll() is None
            time.sleep(0.001)
        for delay in (0, 20, 30, 50, 100, 100):
            time.sleep(delay / 1_000)
            process.send_signal(signal.SIGHUP)
        if ip in platform.entry_ips:
            await platform.wait_ready(ip)
        assert process.poll() is None
