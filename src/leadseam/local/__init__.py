"""All roles and the stand-ins in one process and one event loop."""
