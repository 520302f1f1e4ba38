"""How much the ends of upstreams speak against a request that ran there. No I/O.

A request that crashes whatever begins it ends its upstream within some ms, before a
byte of an answer. One that merely ran there is hit at any moment of its time, so its
ends weigh less.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.wire.crashes import CrashRow

EARLY_LIMIT: Millis = 200
"""Time from a send within which a break is early, if nothing was answered: a crash
takes some 50 ms, and a busy event loop adds some 100."""
ENGINE_EARLY_LIMIT: Millis = 2_000
"""The same at an engine, where a request may stand in a queue before it is begun, and
where its first token tells when it was: callers give a stream up after some 3 s."""
EARLY_WEIGHT = 5
LATE_WEIGHT = 4
CONVICTION_WEIGHT = 3 * EARLY_WEIGHT
"""Weight from which on a request is refused: three early ends, two with two late ones,
or four late ones. Three ends are to be borne, and three sends after them; a fourth end
leaves two of these for copies that are under way then. One end takes everything that
ran there with it, some 4 to 60 requests, and a repeat may meet a second one."""


def weight(*, early: bool) -> int:
    """Return how much one end speaks against a request."""
    return EARLY_WEIGHT if early else LATE_WEIGHT


def weight_of(row: CrashRow) -> int:
    """Return how much all ends that count speak against a request."""
    early = set(row.early)
    return sum(weight(early=one in early) for one in row.counted)


def convicts(row: CrashRow) -> bool:
    """Tell whether a request is to be refused."""
    return weight_of(row) >= CONVICTION_WEIGHT
