"""Random mutations of sound answers, and a judge of what callers get of them."""
