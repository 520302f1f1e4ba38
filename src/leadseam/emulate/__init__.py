"""Simulation of a fleet: modelled engines and callers around the real entry code."""
