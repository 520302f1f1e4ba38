"""Measure how costs grow: bytes, processor time and memory against what causes them."""
