"""Measures how costs grow: bytes, processor time and memory against load sizes."""
