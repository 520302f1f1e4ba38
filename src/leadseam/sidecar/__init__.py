"""The sidecar of an upstream: slots, attempts, metering and health checks."""
