"""A model of engines and callers that drives the entries' own decision code."""
