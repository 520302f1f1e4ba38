"""Injects random faults into real nodes and checks their guarantees meanwhile."""
