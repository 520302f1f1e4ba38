"""The process beside each upstream: slots, grants, attempts, metering, health."""
