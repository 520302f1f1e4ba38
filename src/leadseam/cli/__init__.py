"""The binaries."""
