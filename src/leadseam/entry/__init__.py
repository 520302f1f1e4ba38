"""The process before callers: authentication, waiting requests, whole answers."""
