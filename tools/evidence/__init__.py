"""Collects scores, hunts, sweeps and replays of all deployments on one code."""
