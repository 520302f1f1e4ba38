"""How configuration reaches entries and sidecars, and claims reach the log."""
