"""The data path of routed requests: routing, placement, forwarding and retries."""
