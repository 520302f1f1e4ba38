"""Settings files: their schema and loader."""
