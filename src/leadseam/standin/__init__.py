"""Fakes of the systems around leadseam, for tests and the demo only."""
