"""Fair order of service: counters, their merge, and the selection. No I/O."""
