"""A node whose control group tries verdicts soon, for tests."""

from __future__ import annotations

from leadseam.cli import node
from leadseam.feed import crash_server

MODULE = "tools.platform.short_trials"
PAUSE = 1.0
"""Seconds from a verdict until it is first tried."""

if __name__ == "__main__":
    vars(crash_server)["TRIAL_PAUSE"] = round(PAUSE * 1_000)
    node.main()
