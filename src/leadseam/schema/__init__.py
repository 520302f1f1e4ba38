"""The operators' RPC: its schema file and the code generated from it."""
