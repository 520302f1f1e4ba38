"""Fingerprints of what requests have in common. No I/O.

A request has one for itself, which is equal for its repetitions, and one for each
prompt part that other requests may share.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from leadseam.routing.dialect import RoutedRequest

Fingerprint: TypeAlias = str
"""Hexadecimal digest of caller, path and body, or `PART_PREFIX` and a prompt part."""

DIGEST_SIZE = 16
"""Bytes of a digest. The hash is cryptographic, so that nobody can craft a request that
has the fingerprint of another caller's."""
PART_PREFIX = "part:"
MAX_PART_NAME = 64
"""Longest identity of a part that is used as it is; a longer one is hashed."""
MAX_PARTS = 64
"""Most prompt parts of a request that have fingerprints; prompts have some 2 to 6."""


def fingerprint(req: RoutedRequest, account: str | None, body: bytes) -> Fingerprint:
    """Return the digest of a request's caller, path and body.

    Hashing a large body takes most of a millisecond, so it is computed only for
    requests that may be suspects.

    Args:
        req: The request. Its query counts only if there is no body to distinguish
            requests, as a caller may number its retries in the query.
        account: Client account, or None; the bearer key is used instead then.
        body: Body of the request.
    """
    caller = account if account is not None else f"key:{req.key or ''}"
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    for part in (caller.encode(), (req.path if body else req.target).encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()


def part_fingerprints(req: RoutedRequest) -> tuple[Fingerprint, ...]:
    """Return the fingerprints of the prompt parts that other requests may share.

    A part is the same whoever sends it and at whichever pool. The last part belongs to
    the request itself.
    """
    return tuple(_of_part(part.identity) for part in req.parts[:-1][:MAX_PARTS])


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return fingerprint.startswith(PART_PREFIX)


def _of_part(identity: str) -> Fingerprint:
    if len(identity) <= MAX_PART_NAME:
        return PART_PREFIX + identity
    digest = hashlib.blake2b(identity.encode(), digest_size=DIGEST_SIZE)
    return f"{PART_PREFIX}{digest.hexdigest()}"
