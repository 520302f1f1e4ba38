"""Settings files: their shapes and how they are read."""
