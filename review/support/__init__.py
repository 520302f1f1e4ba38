"""Stand-ins for the platform, its operator, clients and servers."""
