"""The data path of routed requests: match, choose an upstream, forward, retry."""
