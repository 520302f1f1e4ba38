"""Units of service.

Engines: `OUTPUT_TOKEN` for each generated token and `INPUT_TOKEN` for each prompt
token that was not served from the cache. Plain services: 1 for each millisecond of a
slot. Normalised service is `NORMAL_SCALE` times service divided by share.
"""

from __future__ import annotations

OUTPUT_TOKEN = 4
INPUT_TOKEN = 1
NORMAL_SCALE = 1_000


def normalise(service: int, share: int) -> int:
    """Divide service by an account's share, in `NORMAL_SCALE` steps."""
    return service * NORMAL_SCALE // share


def engine_service(*, output_tokens: int, input_tokens: int, cached_tokens: int) -> int:
    """Return the service of an engine request."""
    fresh = max(input_tokens - cached_tokens, 0)
    return output_tokens * OUTPUT_TOKEN + fresh * INPUT_TOKEN
