"""A fleet of routers that share model capacity fairly between client accounts."""

import os

from leadseam.steady import steady_ns

__version__ = "0.1.0"

# The project's requirements forbid io_uring, and libuv enables it unless this is set
# before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

STARTED_NS = steady_ns()
"""Earliest time that this process can measure on the steady clock. The imports that
follow take a third of a second on today's control boxes."""
