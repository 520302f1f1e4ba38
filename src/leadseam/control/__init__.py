"""Replicated configuration and claims: consensus, storage, feed, operators' RPC."""
