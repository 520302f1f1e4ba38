"""How much the ends of upstreams speak against a request that ran there. No I/O.

A request that crashes whatever begins it ends its upstream within some ms, before a
byte of an answer: 46 ms after its send in the users' record. One that merely ran there
is hit at any moment of its time. With ends counted alike, 8 of 24 callers of requests
that run for 1 s were refused for an hour beside one deadly caller, and 14 and 3 in two
plays of 20 s with 15% of four upstreams crashing each second by themselves.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from leadseam.clock import Millis

if TYPE_CHECKING:
    from leadseam.wire.crashes import CrashRow

EARLY_LIMIT: Millis = 200
"""Time from a send within which a break is early, if nothing was answered: four times
that of the record, as a busy event loop adds some 100 ms. At 300 ms, two of the 24
callers were still refused: who is hit is sent again with the one that hits it."""
EARLY_LIMIT_OF_PROMPTS: Millis = 2_000
"""The same at an engine, where a request may stand in a queue before it is begun, and
where its first token tells when it was. Worked out, not measured: callers give a
stream up after some 3 s. It costs innocent requests: emulated with a first byte after
0.3 of a run and 15% of 20 upstreams crashing each second, 29 of 7,308 were refused,
17 of 7,241 with 200 ms; beside one and four deadly callers none either way."""
EARLY_WEIGHT = 5
LATE_WEIGHT = 4
CONVICTING = 3 * EARLY_WEIGHT
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
    return weight_of(row) >= CONVICTING
