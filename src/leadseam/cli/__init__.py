"""Command-line entry points of the binaries."""
