"""Sample rows and suspects for the tests of crashes."""

from __future__ import annotations

from leadseam.crashes.suspects import Suspect
from leadseam.incarnation import Incarnation
from leadseam.wire.crashes import CrashRow

DEADLY = Suspect("d" * 32, "bank", 7)
GOOD = Suspect("a" * 32, "bank", 7)


def upstream(number: int) -> Incarnation:
    """Return the incarnation of an upstream by its number."""
    return Incarnation(f"i-{number}")


def make_row(
    *ended: int,
    suspect: Suspect = DEADLY,
    void: tuple[int, ...] = (),
    late: tuple[int, ...] = (),
) -> CrashRow:
    """Return a row of ended upstreams; ends not in `late` are early."""
    return CrashRow(
        suspect.fingerprint,
        suspect.account,
        suspect.size,
        tuple(map(upstream, ended)),
        tuple(map(upstream, void)),
        tuple(upstream(one) for one in ended if one not in late),
    )
