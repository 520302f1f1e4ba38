"""Upstreams that register themselves: heartbeats, expiry and what entries see."""
