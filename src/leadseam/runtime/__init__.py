"""Runtime shared by all programs: start-up, logging, metrics and the admin server."""
