"""Adapter for the deployment platform: names, formats and calls, without decisions."""
