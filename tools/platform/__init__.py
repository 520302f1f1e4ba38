"""The platform on one machine: boxes, stand-in servers and an operator."""
