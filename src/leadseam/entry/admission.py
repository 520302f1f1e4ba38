"""Authenticates, routes and validates HTTP requests. No I/O."""

from __future__ import annotations

import hashlib
import json
from dataclasses import dataclass
from typing import TYPE_CHECKING

import xxhash

from leadseam.control.configuration import Account, Configuration, PoolKind
from leadseam.entry.request import CallerRequest, Priority
from leadseam.outcome import NotRun, Reason

if TYPE_CHECKING:
    from collections.abc import Mapping

    from leadseam.clock import Millis
    from leadseam.control.configuration import Pool

AUTHORIZATION = "Authorization"
BEARER = "Bearer "
DEADLINE_HEADER = "X-Leadseam-Deadline-Ms"
CLASS_HEADER = "X-Leadseam-Class"
REPEATABLE_HEADER = "X-Leadseam-Repeatable"
KEY_HEADER = "Idempotency-Key"
MAX_KEY_LENGTH = 255
MAX_DEADLINE: Millis = 24 * 3_600 * 1_000
VERSION_SEPARATOR = ":"

_DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        DEADLINE_HEADER.lower(),
        CLASS_HEADER.lower(),
        REPEATABLE_HEADER.lower(),
    }
)
_PRIORITIES = {
    "interactive": Priority.INTERACTIVE,
    "normal": Priority.NORMAL,
    "bulk": Priority.BULK,
}


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request that passed all checks and may be queued.

    Args:
        req: The request.
        key: The caller's Idempotency-Key, empty if there is none.
        digest: Hash of the request, to detect a key that is reused for another one.
    """

    req: CallerRequest
    key: str
    digest: int


def authenticate(
    configuration: Configuration, headers: Mapping[str, str]
) -> Account | NotRun:
    """Return the account that the bearer key in the headers belongs to."""
    header = headers.get(AUTHORIZATION, "")
    if not header.startswith(BEARER):
        return NotRun(Reason.NO_KEY)
    digest = hashlib.sha256(header.removeprefix(BEARER).encode()).hexdigest()
    for account in configuration.accounts.values():
        if digest in account.key_hashes:
            return account
    return NotRun(Reason.WRONG_KEY)


def route_model(
    configuration: Configuration, account: Account, body: bytes
) -> Pool | NotRun:
    """Choose the pool for an OpenAI-style body.

    The body's `model` is `NAME` or `NAME:VERSION`. Without a version, the pool with the
    highest version among those that the account may use is chosen.
    """
    model = _requested_model(body)
    if model is None:
        return NotRun(Reason.MALFORMED_BODY)
    name, _, version = model.partition(VERSION_SEPARATOR)
    pools = [
        pool
        for pool in configuration.pools.values()
        if pool.kind is PoolKind.ENGINE
        and pool.model == name
        and version in ("", pool.version)
    ]
    if not pools:
        return NotRun(Reason.UNKNOWN_MODEL)
    allowed = [pool for pool in pools if may_use(account, pool)]
    if not allowed:
        return NotRun(Reason.MODEL_NOT_ALLOWED)
    return max(allowed, key=lambda pool: pool.version)


def route_service(
    configuration: Configuration, account: Account, name: str
) -> Pool | NotRun:
    """Return the pool of a plain service."""
    pool = configuration.pools.get(name)
    if pool is None or pool.kind is not PoolKind.SERVICE:
        return NotRun(Reason.UNKNOWN_SERVICE)
    if name not in account.services:
        return NotRun(Reason.MODEL_NOT_ALLOWED)
    return pool


def may_use(account: Account, pool: Pool) -> bool:
    """Return whether an account may use an engine pool."""
    return any(
        grant.model == pool.model
        and (not grant.versions or pool.version in grant.versions)
        for grant in account.models
    )


def admit(
    configuration: Configuration,
    account: Account,
    pool: Pool,
    *,
    method: str,
    path: str,
    headers: Mapping[str, str],
    body: bytes,
    now: Millis,
    default_deadline: Millis,
) -> Admitted | NotRun:
    """Validate the headers of a routed request and build the queued form.

    Args:
        configuration: The configuration in force.
        account: Account that the service is charged to.
        pool: Pool that serves the request.
        method: HTTP method.
        path: Path and query sent to the upstream.
        headers: The caller's headers.
        body: The caller's body.
        now: Current time.
        default_deadline: Milliseconds allowed if the caller sets no deadline.
    """
    deadline = _deadline(headers, default_deadline)
    priority = _PRIORITIES.get(headers.get(CLASS_HEADER, "normal").lower())
    repeatable_header = headers.get(REPEATABLE_HEADER, "yes").lower()
    key = headers.get(KEY_HEADER, "")
    if (
        not _is_encodable(path, *headers.values())
        or deadline is None
        or priority is None
        or repeatable_header not in ("yes", "no")
        or len(key) > MAX_KEY_LENGTH
    ):
        return NotRun(Reason.MALFORMED_HEADER)
    never_repeat = configuration.must_not_repeat(account.name, pool.name, path)
    req = CallerRequest(
        account=account.name,
        pool=pool.name,
        method=method,
        path=path,
        headers=_end_to_end(headers),
        body=body,
        priority=priority,
        deadline=now + deadline,
        repeatable=repeatable_header == "yes" and not never_repeat,
        arrived=now,
    )
    return Admitted(req, key, _digest(pool.name, method, path, body))


def _requested_model(body: bytes) -> str | None:
    try:
        parsed = json.loads(body)
    except (ValueError, RecursionError):
        return None
    model = parsed.get("model") if isinstance(parsed, dict) else None
    return model if isinstance(model, str) and model else None


def _deadline(headers: Mapping[str, str], default: Millis) -> Millis | None:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > len(str(MAX_DEADLINE)):
        return None
    return min(int(text), MAX_DEADLINE)


def _is_encodable(*values: str) -> bool:
    """Return whether values can be encoded as UTF-8.

    The HTTP library accepts other bytes in headers and decodes them to surrogates.
    """
    try:
        "".join(values).encode()
    except UnicodeEncodeError:
        return False
    return True


def _end_to_end(headers: Mapping[str, str]) -> tuple[tuple[str, str], ...]:
    items = headers.items()
    return tuple(
        (str(name), str(value))
        for name, value in items
        if name.lower() not in _DROPPED_HEADERS
    )


def _digest(pool: str, method: str, path: str, body: bytes) -> int:
    hasher = xxhash.xxh3_64()
    for part in (pool.encode(), method.encode(), path.encode(), body):
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.intdigest()
