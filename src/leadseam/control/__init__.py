"""The control group: replicated configuration and claims, and the operators' RPC."""
