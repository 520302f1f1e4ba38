"""Messages about requests that end the upstreams which run them."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.wire.record import Message, Record


class CrashRow(Record, frozen=True, array_like=True):
    """Upstreams that have ended while they ran one request.

    Rows of one request merge by the union of both sets, so they may come late, twice,
    in any order and through anybody.

    Args:
        fingerprint: Digest of the request; see `leadseam.crashes.fingerprint`.
        account: Client account that sent it, or an empty text.
        size: Bytes of its body.
        ended: Incarnations that have ended under it.
        void: Those among them that do not count, as it was answered whole since, or an
            operator says so.
        early: Those among them that have ended as soon as the request began there.
    """

    fingerprint: str
    account: str
    size: int
    ended: tuple[Incarnation, ...]
    void: tuple[Incarnation, ...] = ()
    early: tuple[Incarnation, ...] = ()

    @property
    def counted(self) -> frozenset[Incarnation]:
        """Incarnations that speak against the request."""
        return frozenset(self.ended) - frozenset(self.void)


class Crashes(Message, frozen=True, array_like=True, tag=45):
    """What the sender knows of such requests; the receiver merges it."""

    rows: tuple[CrashRow, ...]
