"""Connections that a busy entry hands over to entries with room."""
