"""The platform on one machine: real nodes, stand-in servers and an operator."""
