"""Units in which service is measured.

An engine counts `OUTPUT_TOKEN` for each generated token and `INPUT_TOKEN` for each
prompt token that was not served from the cache. A plain service counts 1 for each
millisecond of a slot. Normalised service is `NORMAL_SCALE` times service divided by
share.
"""

from __future__ import annotations

OUTPUT_TOKEN = 4
INPUT_TOKEN = 1
NORMAL_SCALE = 1_000


def normalise(service: int, share: int) -> int:
    """Return service divided by an account's share, in units of `1/NORMAL_SCALE`."""
    return service * NORMAL_SCALE // share


def engine_service(*, output_tokens: int, input_tokens: int, cached_tokens: int) -> int:
    """Return the service of an engine request."""
    fresh = max(input_tokens - cached_tokens, 0)
    return output_tokens * OUTPUT_TOKEN + fresh * INPUT_TOKEN
