"""Headers, paths and values of the platform's protocol.

Each is decoded in one place of this package.
"""

from __future__ import annotations

SETTINGS_VARIABLE = "LEADSEAM_NODE_FILE"

REQUEST_ID = "Leadseam-Request-Id"
DEADLINE = "Leadseam-Deadline-Ms"
"""Milliseconds for which the sender still waits: a duration, in spite of its name."""
EXPECT_INSTANCE = "Leadseam-Expect-Instance"
INSTANCE = "Leadseam-Instance-Id"
"""Id of a server in its answers to health checks."""
ACCOUNT = "Leadseam-Tenant-Id"
SIGNATURE = "Leadseam-Response-Signature"
NOT_RUN = "Leadseam-Not-Executed"
PROMPT_PARTS = "Leadseam-Prompt-Prefix"
"""All parts of the prompt in order, including the request's own part."""
TOKENS = "Leadseam-Token-Usage"
"""Number of prompt tokens and the most tokens to be generated: a bound, in spite of its
name, as nothing has been used yet."""
LAST_EVENT = "Last-Event-Id"
FIRST_EVENT = 1
"""Id of the first event of a stream."""
WEIGHT_VERSIONS = "Leadseam-Weight-Versions"
"""Version of the weights that an answer is made with; in lower case, the first field of
an event at which it changes."""
RESUMES = "Resumes"
"""Id of the caller's attempt that brought the first event of a resumed stream."""
HOLD = "Leadseam-Hold"
"""Identifier of a reservation of a slot and memory; it reserves nothing by itself."""
PIN = "Leadseam-Pin-Ms"
BACKUP_TO = "Leadseam-Kv-Backup"
"""Address of another server to which the memory of a run is copied while it grows."""
RESUME_FROM = "Kv-From"
"""Address and name of a copy of the memory of a run."""
FETCH_FROM = "Kv-Fetch"
"""Address of a server from which cached parts of a prompt are fetched."""
ENGINE_CONTROLS = (HOLD, PIN, BACKUP_TO, RESUME_FROM, FETCH_FROM)
"""Headers that control an engine; only the system may set them, never a caller."""
WAIT = "Wait-Ms"
"""Milliseconds for which an engine without new cache events holds back its answer."""
RETRY_AFTER = "Retry-After"
LEAVING = "Server-Leaving"
"""Set to 1 in all responses of a server that is about to stop."""

LEAVING_VALUE = "1"
AUTHORIZATION = "Authorization"
BEARER = "Bearer "

READY_PATH = "/leadseam/readyz"
REPLACE_PATH = "/leadseam/config/replace"
READ_PATH = "/leadseam/config/get"
HEARTBEAT_PATH = "/leadseam/instances/{instance}/heartbeat"
LEAVE_PATH = "/leadseam/instances/{instance}/deregister"
EVACUATE_PATH = "/leadseam/evacuations/{domain}/start"
RESTORE_PATH = "/leadseam/evacuations/{domain}/stop"
CACHE_EVENTS_PATH = "/leadseam/kv-events"
SINCE = "since"
"""Query parameter with the cursor from which cache events are read."""

READY = "ready"
DRAINING = "draining"
STREAMING = "streaming"
SAFE = "safe"
