"""What every program shares: start-up, logs, metrics and the admin server."""
