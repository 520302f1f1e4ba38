"""Names on the platform's wire, each decoded in one place of this package."""

from __future__ import annotations

SETTINGS_VARIABLE = "LEADSEAM_NODE_FILE"

REQUEST_ID = "Leadseam-Request-Id"
DEADLINE = "Leadseam-Deadline-Ms"
"""Milliseconds that the sender still waits: a duration, in spite of its name."""
EXPECT_INSTANCE = "Leadseam-Expect-Instance"
ACCOUNT = "Leadseam-Tenant-Id"
SIGNATURE = "Leadseam-Response-Signature"
NOT_RUN = "Leadseam-Not-Executed"
PROMPT_PARTS = "Leadseam-Prompt-Prefix"
"""All parts of the prompt in order, the request's own part included."""
TOKENS = "Leadseam-Token-Usage"
"""Tokens of the prompt, and the most to be generated: a bound, nothing was used yet."""
LAST_EVENT = "Last-Event-Id"
RETRY_AFTER = "Retry-After"
AUTHORIZATION = "Authorization"
BEARER = "Bearer "

READY_PATH = "/leadseam/readyz"
REPLACE_PATH = "/leadseam/config/replace"
READ_PATH = "/leadseam/config/get"
HEARTBEAT_PATH = "/leadseam/instances/{instance}/heartbeat"
LEAVE_PATH = "/leadseam/instances/{instance}/deregister"

DRAINING = "draining"
STREAMING = "streaming"
SAFE = "safe"
