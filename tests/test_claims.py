"""The table of claims on idempotency keys: owners, recorded answers, expiry."""

from __future__ import annotations

from leadseam.control.claims import (
    RETENTION,
    Acquire,
    ClaimTable,
    Complete,
    Release,
    Verdict,
)
from leadseam.control.state import Claims, ControlState


def acquire(owner: str, *, digest: int = 1) -> Acquire:
    """Return a command that acquires one fixed key."""
    return Acquire("tellers", "slip-1", digest, owner)


def test_one_owner_holds_a_key() -> None:
    table = ClaimTable({})
    assert table.apply(acquire("one"), 0).verdict == Verdict.GRANTED
    assert table.apply(acquire("one"), 1).verdict == Verdict.GRANTED
    assert table.apply(acquire("two"), 2).verdict == Verdict.HELD
    assert table.apply(acquire("two", digest=9), 3).verdict == Verdict.MISMATCH


def test_an_answer_is_recorded_once_and_by_its_owner() -> None:
    table = ClaimTable({})
    table.apply(acquire("one"), 0)
    other = Complete("tellers", "slip-1", "two", 200, "", b"other")
    mine = Complete("tellers", "slip-1", "one", 200, "text/plain", b"mine")
    late = Complete("tellers", "slip-1", "one", 500, "", b"late")
    for command in (other, mine, late):
        table.apply(command, 1)
    result = table.apply(acquire("two"), 2)
    assert (result.verdict, result.status, result.body) == ("answered", 200, b"mine")


def test_a_release_frees_only_what_did_not_run() -> None:
    table = ClaimTable({})
    table.apply(acquire("one"), 0)
    table.apply(Release("tellers", "slip-1", "two"), 1)
    assert table.apply(acquire("two"), 2).verdict == Verdict.HELD
    table.apply(Release("tellers", "slip-1", "one"), 3)
    assert table.apply(acquire("two"), 4).verdict == Verdict.GRANTED


def test_claims_expire_after_their_retention() -> None:
    table = ClaimTable({})
    table.apply(acquire("one"), 0)
    assert table.apply(acquire("two"), RETENTION - 1).verdict == Verdict.HELD
    assert table.apply(acquire("two"), RETENTION).verdict == Verdict.GRANTED


def test_claims_survive_a_snapshot() -> None:
    state = ControlState()
    state.apply(Claims((acquire("one"),), 5))
    restored = ControlState()
    restored.restore(state.save())
    assert restored.claim_count == 1
    assert restored.save() == state.save()
