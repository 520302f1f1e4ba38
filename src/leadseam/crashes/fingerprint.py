"""Fingerprints, which identify a request whatever its identifiers. No I/O."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from leadseam.routing.dialect import RoutedRequest

Fingerprint: TypeAlias = str
"""Hexadecimal digest of caller, path and body."""

DIGEST_SIZE = 16
"""Bytes of a digest. The hash is cryptographic, so that nobody can craft a request that
has the fingerprint of another caller's."""


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
