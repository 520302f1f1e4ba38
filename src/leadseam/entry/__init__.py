"""The entry: authenticates callers, queues their requests and relays the answers."""
