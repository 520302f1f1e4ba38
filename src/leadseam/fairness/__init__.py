"""Who is served next: service counters, their merge, and the picker. No I/O."""
