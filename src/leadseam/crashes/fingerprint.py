"""What tells that two requests are the same, whatever their identifiers. No I/O."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from leadseam.routing.dialect import RoutedRequest

Fingerprint: TypeAlias = str
"""Hexadecimal digest of path, caller and body."""

DIGEST_SIZE = 16
"""Bytes of a digest. A cryptographic one, so that nobody can write a request that is
taken for another caller's."""


def fingerprint(req: RoutedRequest, account: str | None, body: bytes) -> Fingerprint:
    """Return the digest of what a request asks for, and on whose behalf.

    A large body takes most of a millisecond, so it is worked out only where a request
    is suspected.

    Args:
        req: The request. Its query counts only where there is no body to tell requests
            apart, for a caller may number what it sends again there.
        account: Client account, or None; its bearer key stands in for it then.
        body: Its body.
    """
    caller = account if account is not None else f"key:{req.key or ''}"
    digest = hashlib.blake2b(digest_size=DIGEST_SIZE)
    for part in (caller.encode(), (req.path if body else req.target).encode(), body):
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
