"""Membership of upstreams: heartbeats, expiry, and the view that entries have."""
