"""A router fleet for client accounts who share model capacity fairly."""

import os

__version__ = "0.1.0"

# The brief forbids io_uring, and libuv opens one unless told before uvloop's import.
os.environ["UV_USE_IO_URING"] = "0"
