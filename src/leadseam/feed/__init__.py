"""The control feed: distributes state to entries and sidecars, and receives claims."""
