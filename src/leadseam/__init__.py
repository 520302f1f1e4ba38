"""A router fleet for client accounts who share model capacity fairly."""

import os

from leadseam.steady import steady_ns

__version__ = "0.1.0"

# The brief forbids io_uring, and libuv opens one unless told before uvloop's import.
os.environ["UV_USE_IO_URING"] = "0"

STARTED_NS = steady_ns()
"""Earliest time that this process can tell, on the steady clock: all that it imports
comes later, a third of a second on a control box of today."""
