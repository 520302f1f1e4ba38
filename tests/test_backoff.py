"""Pauses between attempts to reach a peer."""

from __future__ import annotations

from leadseam.wire.backoff import Backoff


def test_pauses_grow_to_a_limit_and_begin_again() -> None:
    backoff = Backoff(first=100, last=400)
    pauses = [backoff.next_pause() for _ in range(5)]
    limits = [100, 200, 400, 400, 400]
    for pause, limit in zip(pauses, limits, strict=True):
        assert limit // 2 <= pause <= limit
    backoff.reset()
    assert backoff.next_pause() <= 100
