"""Internal protocol: typed messages, their encoding, and the links that carry them."""
