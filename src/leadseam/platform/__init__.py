"""The users' platform: its names, formats and calls, and nothing that decides."""
