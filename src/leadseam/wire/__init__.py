"""The inner protocol: typed messages, their codec and the link that carries them."""
