"""Messages about requests that crash the upstreams which run them."""

from __future__ import annotations

from leadseam.incarnation import Incarnation
from leadseam.wire.record import Message, Record


class CrashRow(Record, frozen=True, array_like=True):
    """Upstreams that have ended while they ran one request, or one prompt part.

    Rows of one fingerprint are merged by the union of their sets, so they may arrive
    late, twice, in any order and from any process.

    Args:
        fingerprint: Of the request or part; see `leadseam.crashes.fingerprint`.
        account: Client account that sent it, or an empty string.
        size: Bytes of its body.
        ended: Incarnations that have ended while they ran it.
        void: Those of them that do not count, because the request was answered
            completely since, or an operator has lifted the verdict.
        early: Those of them that have ended as soon as the request began there.
        stamps: When each of `ended` was found to have ended, in Unix milliseconds of
            some box. It only decides which are kept in a full row. Zeros are left out
            if there is nothing else, as in rows of older processes.
    """

    fingerprint: str
    account: str
    size: int
    ended: tuple[Incarnation, ...]
    void: tuple[Incarnation, ...] = ()
    early: tuple[Incarnation, ...] = ()
    stamps: tuple[int, ...] = ()

    @property
    def counted(self) -> frozenset[Incarnation]:
        """Incarnations that count as evidence against the request."""
        return frozenset(self.ended) - frozenset(self.void)


class Crashes(Message, frozen=True, array_like=True, tag=45):
    """Rows of the sender, which the receiver merges into its own.

    Args:
        rows: The rows.
        trials: Fingerprints of which the receiver may send one request each, in spite
            of the verdict.
    """

    rows: tuple[CrashRow, ...]
    trials: tuple[str, ...] = ()
