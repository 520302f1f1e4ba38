"""Reads the log lines of a fleet and tells how requests ended, and why."""
