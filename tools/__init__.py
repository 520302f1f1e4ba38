"""Harness, load driver and measurements; not part of what operators install."""
