"""Outcomes of a caller's request, and the reasons for failures and refusals."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING, TypeAlias

if TYPE_CHECKING:
    from leadseam.clock import Millis


class Reason(StrEnum):
    """Why a request was refused or failed; stable codes for callers."""

    NO_KEY = "no_key"
    WRONG_KEY = "wrong_key"
    MALFORMED_BODY = "malformed_body"
    MALFORMED_HEADER = "malformed_header"
    BODY_TOO_LARGE = "body_too_large"
    HEADER_TOO_LARGE = "header_too_large"
    HEADER_TIMEOUT = "header_timeout"
    BODY_TIMEOUT = "body_timeout"
    UNKNOWN_MODEL = "unknown_model"
    MODEL_NOT_ALLOWED = "model_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ROUTE = "unknown_route"
    ACCOUNT_QUEUE_FULL = "account_queue_full"
    MEMORY_FULL = "memory_full"
    DEADLINE_PASSED = "deadline_passed"
    ENTRY_BUSY = "entry_busy"
    NO_UPSTREAM = "no_upstream"
    VERSION_GONE = "version_gone"
    VERSION_UNKNOWN = "version_unknown"
    NO_CONFIGURATION = "no_configuration"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAM_BROKEN = "upstream_broken"
    UPSTREAM_SILENT = "upstream_silent"
    UPSTREAM_RESTARTED = "upstream_restarted"
    UPSTREAM_FULL = "upstream_full"
    UPSTREAMS_PAUSED = "upstreams_paused"
    RETRIES_EXHAUSTED = "retries_exhausted"
    CRASHES_UPSTREAMS = "crashes_upstreams"
    MAY_CRASH_UPSTREAMS = "may_crash_upstreams"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    CLAIM_HELD = "claim_held"
    CLAIM_MISMATCH = "claim_mismatch"
    LINK_LOST = "link_lost"


class RefusalReason(StrEnum):
    """Why a sidecar did not start an attempt."""

    GRANT_EXPIRED = "grant_expired"
    DUPLICATE = "duplicate"
    TOMBSTONE = "tombstone"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"


@dataclass(frozen=True, slots=True)
class Answered:
    """The upstream's complete answer reached the entry."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run, and never will.

    Args:
        reason: Why it did not run.
        retry_after: Time after which to retry, or None if a retry is pointless.
        fingerprint: What crashes upstreams, of a request that is refused for it.
    """

    reason: Reason
    retry_after: Millis | None = None
    fingerprint: str = ""


@dataclass(frozen=True, slots=True)
class Failed:
    """The request ran, at least in part, and failed."""

    reason: Reason


@dataclass(frozen=True, slots=True)
class Unknown:
    """It cannot be determined whether the request ran."""

    reason: Reason


Outcome: TypeAlias = Answered | NotRun | Failed | Unknown
