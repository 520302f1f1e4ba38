"""Analysis of a fleet's log lines: how requests ended, and why."""
