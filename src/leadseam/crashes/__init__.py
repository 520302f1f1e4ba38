"""Requests that end the upstreams which run them: recognising and refusing them."""
