"""Weight of the ends of upstreams as evidence against a fingerprint. No I/O.

A request or prompt part that crashes every upstream that begins it ends the upstream
within some ms. A request that merely ran there may be interrupted at any moment, so
late ends weigh less.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.wire.crashes import CrashRow

EARLY_LIMIT: Millis = 200
"""Time after sending within which a break is early, if nothing was answered, and after
the first bytes of an answer within which its prompt may have crashed the upstream: a
crash takes some 50 to 120 ms, and a busy event loop adds some 100 ms."""
ENGINE_EARLY_LIMIT: Millis = 2_000
"""The limit after sending at engines, where a request may wait in a queue before it is
begun, and only its first token shows that it was. Callers abandon a stream after some
3 s."""
EARLY_WEIGHT = 5
LATE_WEIGHT = 4
CONVICTION_WEIGHT = 3 * EARLY_WEIGHT
"""Weight at which a fingerprint is convicted: three early ends, two early and two late
ones, or four late ones. The fleet must tolerate three ends under a request, or five
under a part, and three sends after them. One end interrupts all requests of the
upstream, some 4 to 60, and a retry may meet a second end."""


class AnswerProgress(StrEnum):
    """How far the answer of an attempt had come when the attempt ended.

    `NONE`: nothing had arrived. `HEAD`: only the head. `BEGUN`: the first bytes of the
    body, at most `EARLY_LIMIT` ago. `LASTING`: the body had been arriving for longer,
    so what the upstream began had not crashed it.
    """

    NONE = "none"
    HEAD = "head"
    BEGUN = "begun"
    LASTING = "lasting"


def weight(*, early: bool) -> int:
    """Return the weight of one end."""
    return EARLY_WEIGHT if early else LATE_WEIGHT


def weight_of(row: CrashRow) -> int:
    """Return the weight of all ends of a row that are not void."""
    early = set(row.early)
    return sum(weight(early=one in early) for one in row.counted)


def convicts(row: CrashRow) -> bool:
    """Return whether the weight of a row is enough to convict its fingerprint."""
    return weight_of(row) >= CONVICTION_WEIGHT
